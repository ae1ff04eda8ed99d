package entry

import (
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
)

// Kinds of words of instances, in the counter instance_words.
const (
	wordLeaving  = "leaving"
	wordHeard    = "heard-leaving"
	wordWait     = "wait"
	wordUnusable = "unusable"
)

// Said takes what the instance's answer says about new requests.
func (c *selection) Said(w availability.Word) {
	s := c.s
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := &c.ticket.Instance
	if w.Unusable {
		s.words[wordUnusable].Inc(1)
		event.WaitUnusable.Log(s.log, "id", i.ID, "born", i.Born)
	}
	wasLeaving := s.picker.StateOf(&c.ticket).IsLeaving()
	if !s.picker.Said(now, &c.ticket, w) {
		return
	}
	if w.Leaving && !wasLeaving {
		s.noteLeaving(i, wordLeaving, "")
	}
	if w.Wait > 0 {
		s.words[wordWait].Inc(1)
		event.InstanceAsksToWait.Log(s.log, "id", i.ID, "born", i.Born, "wait_ms", w.Wait.Milliseconds(), "until", s.picker.StateOf(&c.ticket).WaitUntil)
	}
}

// noteLeaving logs that an instance leaves, and closes the connections to it that carry
// no request. The lock is held.
func (s *selector) noteLeaving(i *placement.Instance, word, from string) {
	s.words[word].Inc(1)
	event.InstanceLeaves.Log(s.log, "id", i.ID, "born", i.Born, "heard_from", from)
	s.forget(i.Address)
}

// IsWanted tells whether the instance still takes the request, which was chosen for it
// some time ago.
func (c *selection) IsWanted() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.s.picker.IsWanted(time.Now(), &c.ticket)
}
