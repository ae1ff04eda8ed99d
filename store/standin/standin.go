// Package standin is a stand-in for the platform's key-value service. It implements
// the protocol that package kvhttp uses, keeps everything in memory, and can inject
// faults for tests and the demo.
package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/currantferry/currantferry/store"
)

// Fault makes the stand-in fail until it is replaced. The zero value is a healthy
// service.
type Fault struct {
	// Down closes every connection without a reply.
	Down bool `json:"down,omitempty"`
	// DelayMillis delays each call before it is executed.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseReplies is the number of writes that are executed but whose connection is
	// closed without a reply. Each such write decrements it.
	LoseReplies int `json:"lose_replies,omitempty"`
	// StuckWatches keeps blocking queries from returning.
	StuckWatches bool `json:"stuck_watches,omitempty"`
	// StaleKeys maps keys to older values with which reads are answered.
	StaleKeys map[string][]byte `json:"stale_keys,omitempty"`
}

// Counts holds the number of calls since the start, by kind.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

type entry struct {
	value  []byte
	index  uint64
	holder string
}

type sessionState struct {
	ttl     time.Duration
	expires time.Time
}

// Server holds the state of the stand-in. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	entries  map[string]*entry
	sessions map[string]*sessionState
	index    uint64
	// changed is closed and replaced at every write, to wake blocking queries.
	changed chan struct{}
	fault   Fault
	counts  Counts
	// vmLists holds the successive lists of VMs. Readers see each after vmListLag.
	vmLists   []vmList
	vmListLag time.Duration
	now       func() time.Time
}

type vmList struct {
	setAt time.Time
	vms   []store.VM
}

// New returns an empty service without faults.
func New() *Server {
	return &Server{
		entries:  make(map[string]*entry),
		sessions: make(map[string]*sessionState),
		changed:  make(chan struct{}),
		now:      time.Now,
	}
}

// SetFault replaces the fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetVMs replaces the list of VMs. Readers see it after the lag.
func (s *Server) SetVMs(vms []store.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLists = append(s.vmLists, vmList{setAt: s.now(), vms: append([]store.VM(nil), vms...)})
}

// SetLag sets how long the list of VMs lags behind.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmListLag = lag
}

// visibleVMs returns the newest list that is at least as old as the lag. If there is
// none, it returns the first list, as if it had been set long ago.
func (s *Server) visibleVMs() []store.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.now().Add(-s.vmListLag)
	var current []store.VM
	for i, l := range s.vmLists {
		if i == 0 || !l.setAt.After(limit) {
			current = l.vms
		}
	}
	return current
}

// wake wakes all blocking queries. The caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a value. The caller holds the lock.
func (s *Server) write(key string, value []byte) *entry {
	s.index++
	e := s.entries[key]
	if e == nil {
		e = new(entry)
		s.entries[key] = e
	}
	e.value = append([]byte(nil), value...)
	e.index = s.index
	s.wake()
	return e
}

// compareAndSwap writes if the entry has the index; zero means that the key must not
// exist. The caller holds the lock.
func (s *Server) compareAndSwap(key string, value []byte, index uint64) bool {
	e := s.entries[key]
	if (e == nil && index != 0) || (e != nil && e.index != index) {
		return false
	}
	s.write(key, value)
	return true
}

// acquire acquires the lock of a key for a session. The caller holds s.mu.
func (s *Server) acquire(key string, value []byte, id string) bool {
	s.expire()
	if s.sessions[id] == nil {
		return false
	}
	if e := s.entries[key]; e != nil && e.holder != "" && e.holder != id {
		return false
	}
	s.write(key, value).holder = id
	return true
}

// expire ends the sessions whose time to live has passed. The caller holds the lock.
func (s *Server) expire() {
	now := s.now()
	for id, session := range s.sessions {
		if now.After(session.expires) {
			s.endSession(id)
		}
	}
}

// endSession removes a session and releases its locks. The caller holds s.mu.
func (s *Server) endSession(id string) {
	if _, ok := s.sessions[id]; !ok {
		return
	}
	delete(s.sessions, id)
	for _, e := range s.entries {
		if e.holder == id {
			s.index++
			e.holder = ""
			e.index = s.index
		}
	}
	s.wake()
}

// keys returns the sorted keys with a prefix. The caller holds the lock.
func (s *Server) keys(prefix string) []string {
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}
