package policy

import "time"

// Bounds of routed requests.
const (
	// routedSends bounds the sends of one part, those that were turned away
	// included, so that a group that sheds is not asked for ever.
	routedSends = 4
	// repeatShare is the part of the allowed repeats that is ever used, since
	// hosts count in windows of their own.
	repeatShare = 0.95
	// drawBelow is the depth below which repeats are drawn by chance. There are
	// many hosts then, and chance evens out.
	drawBelow = 3.0
	// repeatsAtStart is the part of the depth that a host begins with.
	repeatsAtStart = 0.25
	// hedgeLatest is the part of the objective after which a part is hedged
	// at the latest, while it is not known how long calls to other halls take.
	hedgeLatest = 0.4
	// hedgeDone is the part of the objective by which a hedge is to be done, if
	// it takes no longer than hedgeFarQuantile of the far calls. hedgeEarliest
	// is the quantile of like calls before which none is hedged: where calls
	// are slow because hosts or upstreams are busy, more of them make it worse.
	hedgeDone        = 0.8
	hedgeFarQuantile = 0.8
	hedgeEarliest    = 0.9
	// hedgeUnknown is the part of the objective after which a part is hedged
	// while the latencies of like calls are not known.
	hedgeUnknown = 0.25
	// patience is how much longer than usual the news of calls made together are
	// waited for at least: a busy host answers late.
	patience = 15 * time.Millisecond
)

// Repeats bound the calls beyond the first that this host makes at a group.
type Repeats struct {
	// Ratio is how many repeats one request earns.
	Ratio float64
	// PerSecond is how many repeats are earned by time alone.
	PerSecond float64
	// Depth is how many earned repeats may be saved up.
	Depth float64
}

// slackByTime is the most of the slack that hosts earn as time passes; the rest
// they may save up. In a window no more than the whole is spent: what was saved
// up before and what is earned meanwhile. leastSaved is how many repeats a host
// is to be able to save up before it earns any by time: with one, every tenth
// hedge of the grown site came too soon after another.
const (
	slackByTime = 0.5
	leastSaved  = 2.0
)

// ShareRepeats gives the part of one of so many hosts in what a group allows in
// each window: a ratio of its requests, and a slack besides.
func ShareRepeats(ratio, slack float64, window time.Duration, hosts int) Repeats {
	slack *= repeatShare / float64(max(hosts, 1))
	byTime := 0.0
	if window > 0 && slack > leastSaved {
		byTime = min(slackByTime*slack, slack-leastSaved)
	}
	out := Repeats{Ratio: ratio * repeatShare, Depth: slack - byTime}
	if byTime > 0 {
		out.PerSecond = byTime / window.Seconds()
	}
	return out
}

// Routed is what a routed request adds to a run.
type Routed struct {
	// Groups holds for each part the group whose budget its repeats use.
	Groups []string
	// FarPool holds the latencies of calls to other halls than this host's.
	FarPool *Pool
	// MaxAttempts is the most upstreams that may run one part; 1 or more.
	MaxAttempts int
	// Hall is the data hall that is preferred among those other than this
	// host's own, so that calls may go there together; empty for none.
	Hall string
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
}

// otherHallFactor counts an upstream for slower that is neither near nor in
// the preferred hall, by more than latencies of like upstreams differ.
const otherHallFactor = 1.2

func (r *Run) hallFactor(u *Upstream) float64 {
	if r.routed == nil || u.near || r.routed.Hall == "" || u.hall == r.routed.Hall {
		return 1
	}
	return otherHallFactor
}

// group is what the requests to one group of upstreams share in one host.
type group struct {
	repeats budget
	// filledAt is up to when repeats were earned by time.
	filledAt time.Duration
}

// SetRepeats sets the bounds of repeats at each group. What is saved up beyond
// a new depth is lost.
func (f *Fleet) SetRepeats(r Repeats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeats = r
	for _, g := range f.groups {
		g.repeats.tokens = min(g.repeats.tokens, f.repeats.Depth)
	}
}

// group finds what is shared about a group, with what it has earned up to now;
// the fleet is locked. A group begins with a part of the depth: all hosts may be
// started again at once, and what they spent before still counts.
func (f *Fleet) group(now time.Duration, name string) *group {
	g := f.groups[name]
	if g == nil {
		g = &group{repeats: budget{f.repeats.Depth * repeatsAtStart}, filledAt: now}
		f.groups[name] = g
	}
	g.repeats.fill(f.repeats.PerSecond*(now-g.filledAt).Seconds(), f.repeats.Depth)
	g.filledAt = now
	return g
}

// takeRepeat takes a repeat at a group; the fleet is locked. Where there are so
// many hosts that none may save up a few repeats, chance decides.
func (f *Fleet) takeRepeat(now time.Duration, name string) bool {
	g := f.group(now, name)
	if f.repeats.Depth < drawBelow {
		return g.repeats.draw(f.random)
	}
	return g.repeats.take()
}

// earnRepeat lets one request earn its part of the repeats at a group; the fleet
// is locked.
func (f *Fleet) earnRepeat(now time.Duration, name string) {
	f.group(now, name).repeats.fill(f.repeats.Ratio, f.repeats.Depth)
}

// earnRepeats lets a request earn its part of the repeats.
func (r *Run) earnRepeats(now time.Duration) {
	for _, n := range r.routed.Groups {
		r.fleet.earnRepeat(now, n)
	}
}

// takeHedge takes a hedge of a part from its budget.
func (r *Run) takeHedge(now time.Duration, i int) bool {
	if r.routed != nil {
		return r.mayAsk(i) && r.fleet.takeRepeat(now, r.routed.Groups[i])
	}
	return r.fleet.class(r.class).hedges.take()
}

// mayAsk tells whether a part may go to one more upstream.
func (r *Run) mayAsk(i int) bool {
	p := &r.parts[i]
	if r.routed == nil {
		return p.tries < maxTries
	}
	return p.ran < r.routed.MaxAttempts && p.sends < routedSends
}

// mayRetry takes a retry from the budget. For a request of a class, a call
// that was shed costs the upstream next to nothing, so only its tries are
// bounded. A routed request pays for each call that arrived.
func (r *Run) mayRetry(now time.Duration, i int, o CallOutcome) bool {
	if r.routed == nil {
		return o == CallShed || r.fleet.class(r.class).retries.take()
	}
	if p := &r.parts[i]; p.arrivals == 0 {
		return true
	}
	return r.fleet.takeRepeat(now, r.routed.Groups[i])
}

// hopeless tells whether the least coverage of a routed request is out of
// reach, so that waiting for the rest is of no use.
func (r *Run) hopeless() bool {
	if r.routed == nil || r.included+r.open == len(r.parts) {
		return false
	}
	return float64(r.included+r.open) < r.config.Coverage*float64(len(r.parts))
}

// linger tells whether an attempt that is not wanted any more may go on. One
// whose caller is gone may not.
func (r *Run) linger(a *attempt) bool {
	return r.routed != nil && r.repeatable && !r.left && a.upstream.near && a.upstream.linger()
}

// poolOf gives the pool that an upstream's latencies belong to. What is far
// takes longer than what is near, whatever the upstream does.
func (r *Run) poolOf(u *Upstream) *Pool {
	if r.routed == nil || u.near {
		return r.pool
	}
	return r.routed.FarPool
}

// routedHedgeDelay is when to hedge a call of a routed request: when it takes
// longer than nearly all like calls, but for a near one not so late that the
// answer from afar would come too late.
func (r *Run) routedHedgeDelay(u *Upstream) time.Duration {
	objective := float64(r.routed.Objective)
	p := r.poolOf(u)
	if !p.Known() {
		return time.Duration(hedgeUnknown * objective)
	}
	latest := time.Duration(hedgeLatest * objective)
	if far := r.routed.FarPool; far.Known() {
		latest = time.Duration(hedgeDone*objective) - far.Quantile(hedgeFarQuantile)
	}
	earliest := p.Quantile(hedgeEarliest)
	return max(min(p.Quantile(r.config.HedgeQuantile), latest), earliest, hedgeLeast)
}

// Patient has an attempt hedged later than it would be: it is made together
// with others, and the news of all of them come at once.
func (r *Run) Patient(n int) {
	a := &r.attempts[n]
	a.hedgeAge += a.hedgeAge/2 + patience
}

// Overdue tells that attempts are known to take long: they are hedged now.
func (r *Run) Overdue(now time.Duration, attempts []int) []Action {
	if r.finished {
		return nil
	}
	for _, n := range attempts {
		a := &r.attempts[n]
		a.hedgeAge = min(a.hedgeAge, now-a.sentAt)
	}
	return r.Wake(now)
}

func init() { RegisterChooser("Soonest", soonest{}) }

// soonest takes the listed upstream whose answer is expected first.
type soonest struct{}

var _ Chooser = soonest{}

// Constants of soonest.
const (
	// farFactor counts an upstream of another data hall for slower than it is:
	// bytes between halls are dear, and distance does not pass.
	farFactor = 1.25
	// staleAfter is how long a latency is believed; from then on it counts for
	// less, down to staleLeast after staleFull, so that an upstream which was
	// slow is asked again.
	staleAfter = time.Second
	staleFull  = 5 * time.Second
	staleLeast = 0.5
	// faultCost is what a call without an answer costs in time, so that an
	// upstream which fails a part of its calls is left for one that is slower.
	faultCost = 500 * time.Millisecond
	// loadLife is how long an upstream's word on its queue is believed.
	loadLife = 300 * time.Millisecond
	// stalledFactor is how many latencies may pass without any answer before an
	// upstream is taken to stand still, stalledLeast the least such time.
	stalledFactor = 2
	stalledLeast  = 10 * time.Millisecond
	// stalledFor is how long that is believed without a call that could tell;
	// pauses of upstreams take some 100 ms.
	stalledFor = 100 * time.Millisecond
	// stalledPenalty counts a stalled upstream for slower than any that answers.
	stalledPenalty = 10.0
	// LingerFor is how long a call goes on that is not wanted any more, longer
	// than upstreams pause.
	LingerFor = 300 * time.Millisecond
)

// Score implements Chooser.
func (soonest) Score(now time.Duration, u *Upstream, p *Pool, r Random) float64 {
	slowness, faults := u.condition(now)
	latency := p.Median().Seconds() * slowness
	ahead := float64(u.inUse+u.queue.Len()) / float64(max(u.share, 1))
	if age := now - u.waitingAt; age < loadLife {
		ahead += u.waiting * (1 - age.Seconds()/loadLife.Seconds())
	}
	score := latency * (1 + ahead) * (1 + 0.05*r.Float64())
	score += faults * faultCost.Seconds()
	if u.stalled(now) {
		score += stalledPenalty
	}
	if !u.near {
		score *= farFactor
	}
	if now < u.restUntil {
		score += slowPenalty
	}
	if now < u.ejectedUntil {
		score += ejectedPenalty
	}
	return score
}

// staleness is how much of a latency counts that was learnt some time ago.
func staleness(age time.Duration) float64 {
	if age <= staleAfter {
		return 1
	}
	passed := min(float64(age-staleAfter)/float64(staleFull-staleAfter), 1)
	return 1 - (1-staleLeast)*passed
}
