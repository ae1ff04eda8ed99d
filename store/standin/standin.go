// Package standin is a stand-in for the platform's key-value service. It speaks
// the protocol that package kvhttp uses, keeps everything in memory, and can be
// made to fail for tests and the demo.
package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/currantferry/currantferry/store"
)

// Fault makes the stand-in misbehave until it is replaced. The zero value is a
// healthy service.
type Fault struct {
	// Down closes every connection without an answer.
	Down bool `json:"down,omitempty"`
	// DelayMillis is added before each call is carried out.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseReplies carries out the next writes and closes the connection
	// instead of answering. It counts down.
	LoseReplies int `json:"lose_replies,omitempty"`
	// StuckWatches keeps blocking queries waiting without ever answering.
	StuckWatches bool `json:"stuck_watches,omitempty"`
	// StaleKeys answers reads of a key with an older value.
	StaleKeys map[string][]byte `json:"stale_keys,omitempty"`
}

// Counts is the calls by kind since the start.
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

// Server is the stand-in's state. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	entries  map[string]*entry
	sessions map[string]*sessionState
	index    uint64
	// changed is closed and replaced at every write, to wake blocking queries.
	changed chan struct{}
	fault   Fault
	counts  Counts
	// lists is the history of the list of VMs, for its lag.
	lists []vmList
	lag   time.Duration
	now   func() time.Time
}

type vmList struct {
	at  time.Time
	vms []store.VM
}

// New returns an empty service.
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
	s.lists = append(s.lists, vmList{at: s.now(), vms: append([]store.VM(nil), vms...)})
}

// SetLag sets how late the list of VMs is.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// vms returns the newest list that is at least as old as the lag. Before that
// the first list is returned, as if it had stood since long.
func (s *Server) vms() []store.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.now().Add(-s.lag)
	var current []store.VM
	for i, l := range s.lists {
		if i == 0 || !l.at.After(limit) {
			current = l.vms
		}
	}
	return current
}

// wake releases all blocking queries. The caller holds the lock.
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

// compareAndSwap writes if the entry has the index, zero for none. The caller
// holds the lock.
func (s *Server) compareAndSwap(key string, value []byte, index uint64) bool {
	e := s.entries[key]
	if (e == nil && index != 0) || (e != nil && e.index != index) {
		return false
	}
	s.write(key, value)
	return true
}

// acquire takes the lock of a key for a session. The caller holds the lock.
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

// expire ends sessions that were not renewed. The caller holds the lock.
func (s *Server) expire() {
	now := s.now()
	for id, session := range s.sessions {
		if now.After(session.expires) {
			s.endSession(id)
		}
	}
}

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
