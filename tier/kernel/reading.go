package kernel

import "time"

// ReadingState is what a host knows of who reads the platform for whom. All times
// are since the process started.
type ReadingState struct {
	// Reading is true while this host reads the platform.
	Reading bool
	// Announcing is true while this host announces to its hall what is published:
	// what it reads itself, or hears from a reader in another hall.
	Announcing bool
	// FeedDown is true while this host should read the platform, cannot, and has to
	// learn from peers what is published.
	FeedDown bool
	// PlatformHeard is when the hall last heard the platform, by any of its hosts.
	PlatformHeard time.Duration
	// SourceAt is when what this host announces was read from the platform, by itself
	// or by the reader that it heard it from; 0 for never.
	SourceAt time.Duration
	// ReadAt is when this host last read the platform itself; 0 for never.
	ReadAt time.Duration
	// HallAnnouncers holds the last announcement of each host that announces to this
	// hall, OtherReaders that of each reader in other halls.
	HallAnnouncers, OtherReaders map[string]AnnouncerReport
}

// AnnouncerReport is the last announcement of a host that announces what is
// published. Its times are since the process started.
type AnnouncerReport struct {
	// At is when it came.
	At time.Duration
	// Lost is true if that host does not hear the platform; Since is when its first
	// announcement with this value of Lost came.
	Lost  bool
	Since time.Duration
}

// Next returns the report after a further announcement of the same host.
func (r AnnouncerReport) Next(now time.Duration, lost bool) AnnouncerReport {
	out := AnnouncerReport{At: now, Lost: lost, Since: r.Since}
	if r.At == 0 || r.Lost != lost {
		out.Since = now
	}
	return out
}
