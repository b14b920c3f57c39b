package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	entrygen "loomgap/tier/gen/entry"
)

func TestTicketLifecycle(t *testing.T) {
	s := newTicketStore(ticketsConfig{Host: "H1", Incarnation: "i", Life: time.Minute})
	a, err := s.mint(0)
	assert.NilError(t, err)
	assert.Equal(t, s.claim(0, a.Counter+1, "x").kind, claimNotMinted)
	assert.Equal(t, s.claim(0, a.Counter, "x").kind, claimRun)
	assert.Equal(t, s.claim(0, a.Counter, "x").kind, claimWait)
	assert.Equal(t, s.claim(0, a.Counter, "y").kind, claimMismatch)
	s.finish(a.Counter, &entrygen.Answer{Outcome: outcomeNotRun})
	assert.Equal(t, s.claim(0, a.Counter, "x").kind, claimRun, "after NotRun it may be tried again")
	// The ticket of a running order is kept past its expiry, so that the order cannot run twice.
	assert.Equal(t, s.claim(2*time.Minute, a.Counter, "x").kind, claimWait)
	done := &entrygen.Answer{Outcome: outcomeComplete}
	s.finish(a.Counter, done)
	assert.Equal(t, s.claim(time.Second, a.Counter, "x").answer, done)
	assert.Equal(t, s.claim(2*time.Minute, a.Counter, "x").kind, claimExpired)
}

func TestUnknownAnswerIsFinal(t *testing.T) {
	s := newTicketStore(ticketsConfig{Host: "H1", Incarnation: "i", Life: time.Minute})
	a, err := s.mint(0)
	assert.NilError(t, err)
	assert.Equal(t, s.claim(0, a.Counter, "x").kind, claimRun)
	s.finish(a.Counter, &entrygen.Answer{Outcome: outcomeUnknown})
	assert.Equal(t, s.claim(0, a.Counter, "x").kind, claimDone)
}

func FuzzParseTicket(f *testing.F) {
	f.Add("H1/18ed/7")
	f.Add("//")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := parseTicket(text)
		if err != nil {
			assert.ErrorIs(t, err, errTicket)
			return
		}
		again, err := parseTicket(k.String())
		assert.NilError(t, err)
		assert.Equal(t, again, k)
	})
}

func TestReleasedTicketsRunOnlyAtTheSuccessor(t *testing.T) {
	s := newTicketStore(ticketsConfig{Host: "H1", Incarnation: "i", Life: time.Minute})
	var minted []ticket
	for range 4 {
		k, err := s.mint(0)
		assert.NilError(t, err)
		minted = append(minted, k)
	}
	done := &entrygen.Answer{Outcome: outcomeComplete}
	assert.Equal(t, s.claim(0, minted[1].Counter, "b").kind, claimRun)
	s.finish(minted[1].Counter, done)
	assert.Equal(t, s.claim(0, minted[2].Counter, "c").kind, claimRun)
	handed := s.release(10 * time.Second)
	assert.Equal(t, len(handed), 3, "what runs is not handed over")
	for _, k := range minted {
		assert.Equal(t, s.claim(10*time.Second, k.Counter, "x").kind, claimReleased)
	}
	_, err := s.mint(10 * time.Second)
	assert.ErrorIs(t, err, errTicketsFull)

	var a adoptedTickets
	successor := a.getOrCreate("H1", "i", time.Minute)
	// Two messages out of order, one of them twice.
	successor.adopt(0, s.next, handed[1:])
	assert.Equal(t, successor.claim(0, minted[2].Counter, "c").kind, claimExpired)
	successor.adopt(0, s.next, handed[:1])
	successor.adopt(0, s.next, handed[:1])
	assert.Equal(t, a.find("H1/i"), successor)
	assert.Equal(t, successor.claim(0, minted[0].Counter, "a").kind, claimRun)
	successor.adopt(0, s.next, handed)
	assert.Equal(t, successor.claim(0, minted[0].Counter, "a").kind, claimWait, "a message that comes late does not free a ticket")
	assert.Equal(t, successor.claim(0, minted[1].Counter, "b").answer.Outcome, outcomeComplete)
	assert.Equal(t, successor.claim(0, 99, "z").kind, claimNotMinted)
	assert.Equal(t, successor.claim(time.Minute, minted[3].Counter, "d").kind, claimExpired)
}
