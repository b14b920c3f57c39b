package policy

import (
	"net/netip"
	"time"
)

const (
	// quarantineAttempts is the number of attempts of a request, and of crashes, that must
	// be reported until it is refused; one of them isolated.
	minQuarantineAttempts = 2
	// otherCallersLeast is the number of callers whose reports have the request of another
	// caller refused.
	minOtherCallers = 2
	// quarantineFirst is how long after its last report a request is refused at first. Then
	// it may show again what it does, at one upstream: it crashes some six in its first
	// day.
	initialQuarantine = 2 * time.Minute
	// quarantineGrowth is how many times as long a request is refused with each further
	// isolated crash, up to crashReportLife.
	quarantineGrowth = 5
)

// ReasonQuarantined is the reason of a refusal of a request that crashes upstreams.
const ReasonQuarantined = "the request has crashed the upstreams that ran it"

// Verdict is what is to be done with a request.
type Verdict string

const (
	// VerdictClean has the request run as any other.
	VerdictClean Verdict = "Sound"
	// VerdictSuspected lets it run at one upstream, and at others only once that one
	// has answered.
	VerdictSuspected Verdict = "Suspected"
	// VerdictQuarantined has it refused.
	VerdictQuarantined Verdict = "Quarantined"
)

// RequestIdentity is a request as it is remembered: what it asks for, and who asks. What it
// asks for crashes upstreams, whoever asks, until an answer to another caller shows
// that it depends on who does.
type RequestIdentity struct {
	Fingerprint Fingerprint
	// Caller is the address that the request came from; the zero value if it is not
	// known.
	Caller netip.Addr
}

// judge returns the verdict on a request of a caller, and for how long it is refused.
// Reports of one other caller do not have it refused, nor do those of one upstream that
// crashed under many attempts.
func (s *suspect) verdict(now time.Duration, caller netip.Addr) (Verdict, time.Duration) {
	var all, isolated []*crash
	attempts, callers := map[uint64]bool{}, map[netip.Addr]bool{}
	last := never
	for i := range s.crashes {
		c := &s.crashes[i]
		if !c.countsFor(now, caller) {
			continue
		}
		all = append(all, c)
		attempts[c.Attempt], callers[c.Caller] = true, true
		if c.Isolated {
			isolated = append(isolated, c)
			last = max(last, c.until-crashReportTTL)
		}
	}
	if len(all) == 0 {
		return VerdictClean, 0
	}
	enough := len(attempts) >= minQuarantineAttempts && countCrashes(all) >= minQuarantineAttempts
	believed := callers[caller] || len(callers) >= minOtherCallers
	left := last + quarantineFor(countCrashes(isolated)) - now
	if enough && believed && left > 0 {
		return VerdictQuarantined, left
	}
	return VerdictSuspected, 0
}

func quarantineFor(crashes int) time.Duration {
	if crashes == 0 {
		return 0
	}
	return exponential(initialQuarantine, quarantineGrowth, crashes-1, crashReportTTL)
}

func (s *suspect) worstVerdict(now time.Duration) Verdict {
	worst := VerdictClean
	for i := range s.crashes {
		switch v, _ := s.verdict(now, s.crashes[i].Caller); v {
		case VerdictQuarantined:
			return v
		case VerdictSuspected:
			worst = v
		default:
		}
	}
	return worst
}

// Verdict returns what is to be done with a request, and for how long it is refused.
func (f *Fleet) Verdict(now time.Duration, of RequestIdentity) (Verdict, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.suspect(of.Fingerprint).verdict(now, of.Caller)
}

// WorstVerdict returns the verdict on a request for the caller that fares worst.
func (f *Fleet) WorstVerdict(now time.Duration, of Fingerprint) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.suspect(of).worstVerdict(now)
}
