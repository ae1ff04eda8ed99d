package entry

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/currantferry/currantferry/coldwatch"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/feed"
	"github.com/currantferry/currantferry/internal/httpanswer"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/roster"
)

const (
	// coldNoticeFormat is the first byte of a notice about cold instances.
	coldNoticeFormat = 0x84
	// coldTick is how often questions to instances are checked for being due.
	coldTick = 50 * time.Millisecond
	// healthTimeout bounds a question to an instance. Its answer may wait for a slot.
	healthTimeout = 400 * time.Millisecond
	// maxHealthHeadBytes and maxHealthBodyBytes bound its answer.
	maxHealthHeadBytes = 8 << 10
	maxHealthBodyBytes = 4 << 10
	// relayGrace is how much longer than its wait the VM that this one follows may take for an answer.
	relayGrace = 200 * time.Millisecond
	// maxColdEntries bounds the instances in a notice.
	maxColdEntries = 256
)

// Outcomes of questions to instances, the values of label "outcome" of counter health_checks.
const (
	healthWarm   = "warm"
	healthCold   = "cold"
	healthOther  = "other-instance"
	healthFailed = "failed"
)

// HealthProtocol translates the answers of the instances' health paths.
type HealthProtocol interface {
	// Health returns the ID of the instance that answers, and how much longer it is cold.
	Health(h http.Header) (id string, cold time.Duration, err error)
	// Pulse asks the store for any answer.
	Pulse(ctx context.Context) error
}

// coldWatcher asks instances whether they are cold while their records may be late, and tells other VMs.
// It is safe for concurrent use.
type coldWatcher struct {
	log      *slog.Logger
	uptime   func() time.Duration
	client   *http.Client
	counters map[string]tally.Counter
	pulses   map[bool]tally.Counter

	mu    sync.Mutex
	watch coldwatch.Watch
	// storeAt is when the store last answered this VM itself, zero if the VM follows another one, and answeredAt
	// when any source last answered.
	storeAt, answeredAt time.Duration
}

func newColdWatcher(o *Options, scope tally.Scope) *coldWatcher {
	w := &coldWatcher{
		log: o.Log, uptime: feed.Uptime, counters: make(map[string]tally.Counter), pulses: make(map[bool]tally.Counter),
		client: &http.Client{
			Timeout:       healthTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: httpanswer.NewTransport(&http.Transport{
				DialContext: o.Dial, DisableCompression: true, MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, IdleConnTimeout: time.Second, MaxResponseHeaderBytes: maxHealthHeadBytes,
			}),
		},
	}
	for _, outcome := range []string{healthWarm, healthCold, healthOther, healthFailed} {
		w.counters[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("health_checks")
	}
	w.pulses[true] = scope.Tagged(map[string]string{"outcome": "answered"}).Counter("store_pulses")
	w.pulses[false] = scope.Tagged(map[string]string{"outcome": "late"}).Counter("store_pulses")
	return w
}

// recordSource records which source has answered with records, and whether the VM that it belongs to asks the
// store for signs of life, for this region.
func (w *coldWatcher) recordSource(isPulsing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeAt, w.answeredAt = 0, w.uptime()
	if isPulsing {
		w.storeAt = w.answeredAt
	}
}

// isSourceLate reports whether the VM that this one follows has not answered for longer than it may wait for
// a change.
func (w *coldWatcher) isSourceLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeAt == 0 && w.answeredAt > 0 && w.uptime()-w.answeredAt >= feed.DefaultRelayWait+relayGrace
}

// confirm records that the store has confirmed the records as of an age ago.
func (w *coldWatcher) confirm(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.Confirm(w.uptime() - age)
}

// doubt records that records may be late.
func (w *coldWatcher) doubt(source string) {
	w.mu.Lock()
	isNew := false
	if source == "" {
		isNew = w.watch.DoubtOwn(w.uptime())
	} else {
		isNew = w.watch.Doubt(w.uptime())
	}
	w.mu.Unlock()
	if isNew {
		event.RecordsDoubted.Log(w.log, "heard_from", source)
	}
}

// isPulseDue reports whether this VM asks the store for signs of life and has had no answer of it lately, and
// how long the next one may take.
func (w *coldWatcher) isPulseDue() (timeout time.Duration, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch.PulseTimeout(), w.watch.MustPulse() || w.storeAt > 0 && w.uptime()-w.storeAt >= coldwatch.PulseInterval
}

// isPulser reports whether this VM asks the store for signs of life while it follows a source: the store, or a
// VM of another region if it ranks first in its own.
func (n *Node) isPulser(source string) bool {
	if source == feed.StoreName {
		return true
	}
	peers := n.sharers.peers()
	isOfRegion := slices.ContainsFunc(peers, func(m roster.Member) bool { return m.Relay == source })
	return !isOfRegion && rankOf(roster.Candidates(peers), n.self.ID, "pulse") == 0
}

// pulse asks the store for a sign of life if it is due. While it is late, all VMs of the region are told, so
// that they ask the instances.
func (n *Node) pulse(time.Time) {
	timeout, due := n.cold.isPulseDue()
	if !due || n.platform.Health == nil || !n.ready.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, coldwatch.PulseGiveUp)
	defer cancel()
	began := n.cold.uptime()
	answered := make(chan error, 1)
	go func() { answered <- n.platform.Health.Pulse(ctx) }()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case err := <-answered:
			n.cold.pulses[err == nil].Inc(1)
			switch {
			case err == nil:
				n.cold.recordPulse(n.cold.uptime() - began)
			case n.ctx.Err() == nil:
				n.tellDoubt()
			}
			return
		case <-timer.C:
			n.tellDoubt()
			timer.Reset(coldwatch.PulseInterval)
		}
	}
}

// tellDoubt records that records may be late, and tells the VMs of the region.
func (n *Node) tellDoubt() {
	n.cold.doubt("")
	n.sendColdNotice(n.sharers.peers(), true, nil)
}

// recordPulse records how long a sign of life took. It is as new as the request for it.
func (w *coldWatcher) recordPulse(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.RecordPulse(took)
	if took < w.watch.PulseTimeout() {
		w.watch.Confirm(w.uptime() - took)
	}
}

// askInstances asks the instances that are due.
func (n *Node) askInstances(time.Time) {
	w := n.cold
	if n.ready.Load() && (n.sharers.lacksStore() || w.isSourceLate()) {
		// It lasts until newer records come: another source may be as late.
		w.doubt("")
	}
	w.mu.Lock()
	now := w.uptime()
	isInDoubt := w.watch.IsInDoubt(now)
	if !isInDoubt {
		w.watch.Forget(now)
	}
	w.mu.Unlock()
	if !isInDoubt || n.platform.Health == nil || n.reach.IsIsolated() {
		return
	}
	snapshot := n.sharers.current.Load()
	candidates := roster.Candidates(snapshot.In(snapshot.Self.Region))
	for _, target := range n.selector.coldTargets() {
		rank := rankOf(candidates, snapshot.Self.ID, target.Instance.ID)
		w.mu.Lock()
		due := w.watch.IsDue(now, target.Process, rank)
		w.mu.Unlock()
		if !due {
			continue
		}
		n.group.Go(func() {
			n.askInstance(&target)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.watch.Answered(target.Process)
		})
	}
}

// rankOf returns the rank of a VM among several for a purpose.
func rankOf(candidates []roster.Member, id, purpose string) (rank int) {
	score := scorer("cold:" + purpose)
	own := score(id, 1)
	for _, m := range candidates {
		if m.ID != id && score(m.ID, 1) > own {
			rank++
		}
	}
	return rank
}

// askInstance asks an instance, and tells all VMs if it is cold.
func (n *Node) askInstance(target *placement.ColdTarget) {
	id, cold, err := n.cold.ask(n.ctx, n.platform.Health, "http://"+target.Instance.Address+target.HealthPath)
	outcome := healthWarm
	switch {
	case err != nil:
		outcome = healthFailed
	case id != target.Instance.ID:
		outcome = healthOther
	case cold > 0:
		outcome = healthCold
	}
	n.cold.counters[outcome].Inc(1)
	if outcome != healthCold {
		return
	}
	hint := placement.ColdHint{Process: target.Process, Remaining: min(cold, coldwatch.MaxCold)}
	peers := n.sharers.peers()
	if n.selector.applyColdHints(time.Now(), "", []placement.ColdHint{hint}) {
		// VMs of other regions may send requests to the instance as well.
		peers = n.sharers.audience()
	}
	n.sendColdNotice(peers, true, []placement.ColdHint{hint})
}

// ask requests a health path.
func (w *coldWatcher) ask(ctx context.Context, protocol HealthProtocol, url string) (id string, cold time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", 0, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return "", 0, err
	}
	defer res.Body.Close()
	// A body that is read to its end leaves the connection open for the next question.
	_, _ = io.CopyN(io.Discard, res.Body, maxHealthBodyBytes)
	return protocol.Health(res.Header)
}

// sendColdNotice tells VMs that records are late, and which instances are cold.
func (n *Node) sendColdNotice(to []roster.Member, isDoubt bool, hints []placement.ColdHint) {
	data := encodeColdNotice(n.self.ID, isDoubt, hints)
	for _, m := range to {
		n.sendDatagram(data, m.Relay)
	}
}

// encodeColdNotice encodes the format, the sender, whether records are late, and the cold instances.
func encodeColdNotice(from string, isDoubt bool, hints []placement.ColdHint) []byte {
	b := appendText([]byte{coldNoticeFormat}, from)
	doubt := byte(0)
	if isDoubt {
		doubt = 1
	}
	b = binary.AppendUvarint(append(b, doubt), uint64(len(hints)))
	for _, h := range hints {
		b = binary.AppendUvarint(binary.BigEndian.AppendUint64(b, h.Process), uint64(h.Remaining.Milliseconds()))
	}
	return b
}

func decodeColdNotice(data []byte) (from string, isDoubt bool, hints []placement.ColdHint, err error) {
	r := &digestReader{rest: data[1:]}
	from = r.text()
	isDoubt = r.bytes(1)[0] != 0
	for n := r.number(); n > 0 && r.err == nil; n-- {
		if len(hints) == maxColdEntries {
			return "", false, nil, errors.New("notice of too many cold instances")
		}
		hints = append(hints, placement.ColdHint{Process: binary.BigEndian.Uint64(r.bytes(8)), Remaining: min(r.age(), coldwatch.MaxCold)})
	}
	if r.err == nil && len(r.rest) > 0 {
		r.err = errors.Errorf("notice has %d trailing bytes", len(r.rest))
	}
	return from, isDoubt, hints, r.err
}

// receiveColdNotice processes the notice of another VM. Only known VMs are heard.
func (n *Node) receiveColdNotice(data []byte) {
	from, isDoubt, hints, err := decodeColdNotice(data)
	if err != nil {
		event.DigestFailed.Log(n.log, "error", err, "bytes", len(data))
		return
	}
	known := n.sharers.audience()
	k := slices.IndexFunc(known, func(m roster.Member) bool { return m.ID == from })
	if k < 0 {
		return
	}
	if isDoubt && known[k].Region == n.self.Region {
		n.cold.doubt(from)
	}
	n.selector.applyColdHints(time.Now(), from, hints)
}

// coldTargets returns the instances of this region that may be asked.
func (s *selector) coldTargets() []placement.ColdTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.ColdTargets()
}

// applyColdHints applies what is known about cold instances besides their records, and reports whether any of
// them was not known to be cold.
func (s *selector) applyColdHints(now time.Time, from string, hints []placement.ColdHint) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hints {
		if i, ok := s.picker.ApplyColdHint(now, h); ok {
			isNew = true
			event.InstanceCold.Log(s.log, "id", i.ID, "born", i.StartMillis, "service", i.Service, "cold_ms", h.Remaining.Milliseconds(), "heard_from", from)
		}
	}
	return isNew
}
