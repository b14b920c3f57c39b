package policy

import (
	"net/netip"
	"time"
)

const (
	// minQuarantineRuns is both the number of runs with a crash and the number of crashes
	// that hosts must report before a request is quarantined. At least one of the crashes
	// must be isolated.
	minQuarantineRuns = 2
	// minOtherCallers is the number of other callers whose reports quarantine a request for
	// a caller without reports of its own.
	minOtherCallers = 2
	// initialQuarantine is how long the first quarantine of a request lasts after its latest
	// isolated crash. The request may then run again on one upstream at a time. Together
	// with quarantineGrowth, this limits a request that keeps crashing upstreams to a few
	// crashes per day.
	initialQuarantine = 2 * time.Minute
	// quarantineGrowth multiplies the duration of the quarantine with each further isolated
	// crash, up to crashReportTTL.
	quarantineGrowth = 5
)

// ReasonQuarantined is the reason for refusing a quarantined request.
const ReasonQuarantined = "the request has crashed the upstreams that ran it"

// Verdict says how to handle a request.
type Verdict string

const (
	// VerdictClean means that the request runs like any other.
	VerdictClean Verdict = "Sound"
	// VerdictSuspected means that the request runs on one upstream at a time until one has
	// answered.
	VerdictSuspected Verdict = "Suspected"
	// VerdictQuarantined means that the request is refused.
	VerdictQuarantined Verdict = "Quarantined"
)

// RequestIdentity identifies a request and its caller in crash reports. A request that
// crashes upstreams is assumed to do so for every caller, until an answer to another caller
// shows that it depends on the caller.
type RequestIdentity struct {
	Fingerprint Fingerprint
	// Caller is the address that the request came from; the zero value if unknown.
	Caller netip.Addr
}

// verdict returns the verdict on a request of a caller, and how long the request remains
// quarantined. Neither the reports of a single other caller nor many reports about a single
// crash quarantine it.
func (s *suspect) verdict(now time.Duration, caller netip.Addr) (Verdict, time.Duration) {
	var all, isolated []*crash
	runs, callers := map[uint64]bool{}, map[netip.Addr]bool{}
	last := never
	for i := range s.crashes {
		c := &s.crashes[i]
		if !c.countsFor(now, caller) {
			continue
		}
		all = append(all, c)
		runs[c.Attempt], callers[c.Caller] = true, true
		if c.Isolated {
			isolated = append(isolated, c)
			last = max(last, c.until-crashReportTTL)
		}
	}
	if len(all) == 0 {
		return VerdictClean, 0
	}
	enough := len(runs) >= minQuarantineRuns && countCrashes(all) >= minQuarantineRuns
	credible := callers[caller] || len(callers) >= minOtherCallers
	remaining := last + quarantineFor(countCrashes(isolated)) - now
	if enough && credible && remaining > 0 {
		return VerdictQuarantined, remaining
	}
	return VerdictSuspected, 0
}

func quarantineFor(crashes int) time.Duration {
	if crashes == 0 {
		return 0
	}
	return exponentialDelay(initialQuarantine, quarantineGrowth, crashes-1, crashReportTTL)
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

// Verdict returns the verdict on a request, and how long the request remains quarantined.
func (f *Fleet) Verdict(now time.Duration, id RequestIdentity) (Verdict, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.suspect(id.Fingerprint).verdict(now, id.Caller)
}

// WorstVerdict returns the most severe verdict on a request over all reported callers.
func (f *Fleet) WorstVerdict(now time.Duration, fp Fingerprint) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.suspect(fp).worstVerdict(now)
}
