package entry

import (
	"time"

	"github.com/currantferry/currantferry/availability"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
)

// Kinds of instance notices, the values of label "word" of counter instance_words.
const (
	noticeLeaving         = "leaving"
	noticeLeavingReceived = "heard-leaving"
	noticeWait            = "wait"
	noticeUnusable        = "unusable"
	noticeLimit           = "limit"
	noticeLimitReceived   = "heard-limit"
	noticeLimitEnded      = "limit-ended"
	noticeLimitUnusable   = "limit-unusable"
)

// Values of label "step" of counter quota_tokens: tokens that this VM asked for, leased to
// others or itself as a coordinator, received, and gave back.
const (
	quotaWanted   = "wanted"
	quotaLeased   = "leased"
	quotaReceived = "received"
	quotaReturned = "returned"
)

// ReceiveNotice applies an instance's notice about new requests, which came with an
// answer.
func (c *selection) ReceiveNotice(notice availability.Notice) {
	s := c.s
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := &c.ticket.Instance
	if notice.Unusable {
		s.noticeCounters[noticeUnusable].Inc(1)
		event.WaitUnusable.Log(s.log, "id", i.ID, "born", i.StartMillis)
	}
	if notice.LimitUnusable {
		s.noticeCounters[noticeLimitUnusable].Inc(1)
		if s.picker.RecordUnusableLimit(now, &c.ticket) {
			event.LimitUnusable.Log(s.log, "id", i.ID, "born", i.StartMillis)
		}
	}
	wasLeaving := s.picker.StateOf(&c.ticket).IsLeaving()
	limit := s.picker.LimitOf(&c.ticket)
	if !s.picker.ApplyNotice(now, &c.ticket, notice) {
		return
	}
	if l := s.picker.LimitOf(&c.ticket); l.InForce != limit.InForce || l.PerSecond != limit.PerSecond {
		s.logLimit(&placement.LimitChange{Instance: *i, Limit: l})
	}
	if notice.Leaving && !wasLeaving {
		s.recordLeaving(i, noticeLeaving, "")
	}
	if notice.Wait > 0 {
		s.noticeCounters[noticeWait].Inc(1)
		event.InstanceAsksToWait.Log(s.log, "id", i.ID, "born", i.StartMillis, "wait_ms", notice.Wait.Milliseconds(), "until", s.picker.StateOf(&c.ticket).WaitUntil)
	}
}

// recordLeaving counts and logs that an instance leaves, and closes the idle connections
// to it. The lock is held.
func (s *selector) recordLeaving(i *placement.Instance, notice, from string) {
	s.noticeCounters[notice].Inc(1)
	event.InstanceLeaves.Log(s.log, "id", i.ID, "born", i.StartMillis, "heard_from", from)
	s.closeIdle(i.Address)
}

// CanSend reports whether the instance, which was chosen some time ago, still accepts
// the request.
func (c *selection) CanSend() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.s.picker.SetSent(time.Now(), &c.ticket)
}
