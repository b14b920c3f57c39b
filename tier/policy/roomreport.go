package policy

import "time"

const (
	// roomReportTTL is how long a coordinator's report of its room is valid. The room
	// changes within 100 ms, so an older report says nothing.
	roomReportTTL = 500 * time.Millisecond
	// roomHysteresis is how long a coordinator that had no room must have had some before
	// it is preferred again, so that a burst does not swing between two halls.
	roomHysteresis = 300 * time.Millisecond
	// roomProbeInterval is how long a coordinator that had no room is left alone by requests
	// that would be refused late if it still has none.
	roomProbeInterval = 2 * time.Second
)

// RoomReport is the room at a coordinator's gate during a shortage.
type RoomReport struct {
	// InFlight and Waiting count requests, Places is the limit of InFlight.
	InFlight, Places, Waiting int
}

// hasRoom reports whether a request could start at once besides those that were sent and are
// not counted in the report yet.
func (r *RoomReport) hasRoom(pending int) bool {
	return r.Waiting == 0 && r.InFlight+pending < r.Places
}

// add adds the counts of another report.
func (r *RoomReport) add(o *RoomReport) {
	r.InFlight += o.InFlight
	r.Places += o.Places
	r.Waiting += o.Waiting
}

// KnownRoom is what a host knows of the room of one coordinator. The zero value knows nothing.
type KnownRoom struct {
	report RoomReport
	// reportedAt is when report arrived; 0 if there is none.
	reportedAt time.Duration
	// fullAt is when the coordinator last reported no room or declined a request, and
	// declinedAt when it last declined one; 0 if never.
	fullAt, declinedAt time.Duration
}

// Observe records a report. Without a report the coordinator measures no shortage or does not
// report its room, so what was known is dropped.
func (k *KnownRoom) Observe(now time.Duration, r *RoomReport) {
	if r == nil {
		*k = KnownRoom{}
		return
	}
	k.report, k.reportedAt = *r, now
	if !r.hasRoom(0) {
		k.fullAt = now
	}
}

// Declined records that the coordinator declined a request for lack of room.
func (k *KnownRoom) Declined(now time.Duration) { k.fullAt, k.declinedAt = now, now }

// Expired reports whether nothing is known that still applies.
func (k *KnownRoom) Expired(now time.Duration) bool {
	return !k.reported(now) && !k.declinedLately(now) && !k.fullLately(now)
}

// fullLately reports whether the coordinator had no room within roomProbeInterval.
func (k *KnownRoom) fullLately(now time.Duration) bool {
	return k.fullAt > 0 && now-k.fullAt < roomProbeInterval
}

// reported reports whether the last report is valid.
func (k *KnownRoom) reported(now time.Duration) bool {
	return k.reportedAt > 0 && now-k.reportedAt < roomReportTTL
}

func (k *KnownRoom) declinedLately(now time.Duration) bool {
	return k.declinedAt > 0 && now-k.declinedAt < roomHysteresis
}

// hasRoom reports whether the coordinator has room as far as known, with the given number of
// requests that it has not acknowledged.
func (k *KnownRoom) hasRoom(now time.Duration, pending int) bool {
	if k.declinedLately(now) {
		return false
	}
	return !k.reported(now) || k.report.hasRoom(pending)
}

// settled reports whether the coordinator has room and has had some for roomHysteresis.
func (k *KnownRoom) settled(now time.Duration, pending int) bool {
	if !k.reported(now) {
		return !k.declinedLately(now)
	}
	return k.hasRoom(now, pending) && (k.fullAt == 0 || now-k.fullAt >= roomHysteresis)
}

// wait returns the expected wait at the coordinator if each request takes the given time; 0 if
// it is unknown.
func (k *KnownRoom) wait(now, took time.Duration) time.Duration {
	if !k.reported(now) {
		return 0
	}
	perPlace := float64(k.report.Waiting) / float64(max(k.report.Places, 1))
	return time.Duration(perPlace * float64(took))
}
