package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"loomgap/tier/config"
	"loomgap/tier/kernel"
)

// newTestIndex returns the index of an empty document with the given version.
func newTestIndex(version uint64) *config.Index {
	return &config.Index{Edition: config.Edition{Version: version, Position: config.Position{Revision: version}}, Document: &config.Document{}}
}

// TestOnlyThePlatformConfirmsADocument checks that, with an adapter, a peer confirms a document
// only if the platform has recently confirmed it to that peer: two hosts that start with the
// same stale read must not confirm it to each other.
func TestOnlyThePlatformConfirmsADocument(t *testing.T) {
	tests := []struct {
		name      string
		adapter   string
		version   uint64
		confirmed bool
		age       time.Duration
		want      bool
	}{
		{"another that starts", "Test", 5, false, 0, false},
		{"knew long ago", "Test", 5, true, maxConfirmedAge + time.Second, false},
		{"knows of an older one only", "Test", 2, true, 0, false},
		{"knows from the platform", "Test", 5, true, time.Second, true},
		{"own protocol: no newer one", "", 5, false, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := newTestKernel(t, "Self")
			k.Settings.Adapter = tt.adapter
			g := &gossip{kernel: k}
			s := &kernel.State{DocumentState: kernel.DocumentState{Index: newTestIndex(5)}}
			h := heartbeat{Version: tt.version, Revision: tt.version, Confirmed: tt.confirmed, ConfirmedAge: tt.age}
			g.compareEdition(s, time.Minute, &h)
			assert.Equal(t, s.Confirmed, tt.want)
		})
	}
}

// TestHostWithoutAnnouncementsAsksForOne checks when a host asks for an announcement, and that
// it asks the highest ranked hosts in turn.
func TestHostWithoutAnnouncementsAsksForOne(t *testing.T) {
	const hosts = 97
	settings := kernel.Settings{Host: "host-50", Hall: "A", Cores: 0.2}
	members := map[string]kernel.Member{}
	strong := map[netip.AddrPort]bool{}
	for i := range hosts {
		c := kernel.Settings{Cores: 0.2}
		if i < 6 {
			c.Cores = 0.8
		}
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		strong[at] = i < 6
		n := fmt.Sprintf("host-%d", i)
		members[n] = kernel.Member{Host: n, Hall: "A", Live: true, Capacity: c.Capacity(), Peer: at}
	}
	delete(members, settings.Host)
	now := time.Minute
	announcedAgo := func(before time.Duration) map[string]kernel.AnnouncerReport {
		return map[string]kernel.AnnouncerReport{"host-1": {At: now - before}}
	}
	tests := []struct {
		name       string
		announcers map[string]kernel.AnnouncerReport
		announcing bool
		asks       bool
	}{
		{"hears the announcer", announcedAgo(announceInterval), false, false},
		{"hears it no more", announcedAgo(discoveryTimeout), false, true},
		{"has never heard one", nil, false, true},
		{"announces itself", nil, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &kernel.State{Members: members, ReadingState: kernel.ReadingState{
				HallAnnouncers: tt.announcers, Announcing: tt.announcing, AnnouncedReadAt: time.Second,
			}}
			asked := map[netip.AddrPort]bool{}
			for i := range 2 * discoveryCandidates {
				to := discoveryTarget(s, &settings, now, i)
				assert.Equal(t, to.IsValid(), tt.asks)
				if to.IsValid() {
					assert.Assert(t, strong[to], "a weak host was asked")
					asked[to] = true
				}
			}
			assert.Equal(t, len(asked) == discoveryCandidates, tt.asks)
		})
	}
}

// TestAnnouncerRepliesWithItsAnnouncement checks that an announcer replies with its
// announcement to hosts of its hall that it does not know yet, and learns of them.
func TestAnnouncerRepliesWithItsAnnouncement(t *testing.T) {
	k := newTestKernel(t, "Announcer")
	k.Settings.Adapter, k.Settings.Beat = "Test", time.Second
	g := newGossip(k, nil, nil)
	s := &kernel.State{Members: map[string]kernel.Member{}, ReadingState: kernel.ReadingState{
		HallAnnouncers: map[string]kernel.AnnouncerReport{}, Announcing: true, AnnouncedReadAt: time.Nanosecond,
	}}
	s.Directory, _ = s.Directory.With(&config.DirectoryChange{Revision: 1})
	in := heartbeat{Hall: "A", Members: []memberEntry{{Host: "Started", Incarnation: "2", Hall: "A", Peer: netip.MustParseAddrPort("10.0.0.9:1")}}}
	g.apply(s, netip.AddrPort{}, &in)
	reply := g.reply(s, &in)
	assert.Equal(t, reply.Announcement.Host, "Announcer")
	assert.Assert(t, s.Members["Started"].Live)

	server := newServerWithoutFetches(k)
	answer := server.reply(s, &announcement{Host: "Other", Hall: "A"})
	assert.Equal(t, answer.Announcement.Host, "Announcer")
	assert.Assert(t, server.reply(s, &announcement{Host: "Reader", Hall: "B"}).Announcement == nil)
}
