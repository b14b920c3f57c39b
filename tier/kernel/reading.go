package kernel

import "time"

// ReadingState is what a host knows of who reads the platform for whom. All times are
// since the process started.
type ReadingState struct {
	// Reading is true while this host reads the platform.
	Reading bool
	// Announcing is true while this host announces to its hall what is published:
	// what it reads itself, or what a reader in another hall announces to it.
	Announcing bool
	// FeedDown is true while this host should read the platform, cannot, and has to
	// learn from peers what is published.
	FeedDown bool
	// PlatformReadAt is when the platform was last read, as far as this host knows: by
	// itself, by another host of its hall, or by a reader that announces to the hall.
	PlatformReadAt time.Duration
	// AnnouncedReadAt is when what this host announces was read from the platform, by
	// itself or by a reader in another hall; 0 for never.
	AnnouncedReadAt time.Duration
	// OwnReadAt is when this host last read the platform itself; 0 for never.
	OwnReadAt time.Duration
	// HallAnnouncers holds the last announcement of each host that announces to this
	// hall, OtherReaders that of each reader in other halls.
	HallAnnouncers, OtherReaders map[string]AnnouncerReport
}

// AnnouncerReport is the last announcement of a host that announces what is
// published. Its times are since the process started.
type AnnouncerReport struct {
	// At is when it came.
	At time.Duration
	// Lost is true if that host gets no answer of the platform; Since is when its first
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
