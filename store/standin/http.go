package standin

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/currantferry/currantferry/store"
)

const (
	maxBodyBytes     = 4 * store.MaxValueBytes
	maxWatchWait     = 10 * time.Minute
	defaultWatchWait = 5 * time.Minute
)

// Handler serves the protocol, and the control interface of the stand-in itself:
// PUT /standin/fault, PUT /standin/vms, GET /standin/counts.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/v1/kv/*key", s.withFaults(s.getKV))
	r.PUT("/v1/kv/*key", s.withFaults(s.putKV))
	r.DELETE("/v1/kv/*key", s.withFaults(s.deleteKV))
	r.PUT("/v1/txn", s.withFaults(s.txn))
	r.PUT("/v1/session/create", s.withFaults(s.createSession))
	r.PUT("/v1/session/renew/:id", s.withFaults(s.renewSession))
	r.PUT("/v1/session/destroy/:id", s.withFaults(s.destroySession))
	r.GET("/v1/catalog/service/:name", s.withFaults(s.catalog))
	r.PUT("/standin/fault", s.putFault)
	r.PUT("/standin/vms", s.putVMs)
	r.GET("/standin/counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, s.Counts()) })
	return r
}

// withFaults applies the fault that is set to a call.
func (s *Server) withFaults(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.mu.Lock()
		fault := s.fault
		isWrite := r.Method != http.MethodGet
		switch {
		case isWrite:
			s.counts.Writes++
		case r.URL.Query().Has("index"):
			s.counts.Watches++
		default:
			s.counts.Reads++
		}
		loseReply := isWrite && fault.LoseReplies > 0 && !fault.Down
		if loseReply {
			s.fault.LoseReplies--
		}
		s.mu.Unlock()
		if fault.Down {
			panic(http.ErrAbortHandler)
		}
		if fault.DelayMillis > 0 {
			select {
			case <-time.After(time.Duration(fault.DelayMillis) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if loseReply {
			next(discardWriter{}, r, p)
			panic(http.ErrAbortHandler)
		}
		next(w, r, p)
	}
}

// discardWriter is an http.ResponseWriter that ignores what is written to it.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeBool(w http.ResponseWriter, ok bool) { _, _ = io.WriteString(w, strconv.FormatBool(ok)) }

func keyOf(p httprouter.Params) string { return strings.TrimPrefix(p.ByName("key"), "/") }

// pair is the JSON encoding of an entry, with the value in base64.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (s *Server) getKV(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	key := keyOf(p)
	query := r.URL.Query()
	if query.Has("recurse") {
		s.mu.Lock()
		s.expire()
		pairs := []pair{}
		for _, k := range s.keys(key) {
			pairs = append(pairs, s.pair(k))
		}
		s.mu.Unlock()
		s.writePairs(w, pairs)
		return
	}
	if query.Has("index") {
		s.awaitChange(r, key)
	}
	s.mu.Lock()
	s.expire()
	var pairs []pair
	if s.entries[key] != nil {
		pairs = []pair{s.pair(key)}
	}
	s.mu.Unlock()
	s.writePairs(w, pairs)
}

// pair returns an entry, with its stale value if a fault sets one. The caller holds
// the lock.
func (s *Server) pair(key string) pair {
	e := s.entries[key]
	out := pair{Key: key, Value: e.value, ModifyIndex: e.index, Session: e.holder}
	if stale, ok := s.fault.StaleKeys[key]; ok {
		out.Value = stale
	}
	return out
}

func (s *Server) writePairs(w http.ResponseWriter, pairs []pair) {
	s.mu.Lock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(1, s.index), 10))
	s.mu.Unlock()
	if len(pairs) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, pairs)
}

// awaitChange returns when the index of the key differs from the given one, when the
// waiting time has passed, or when the client has disconnected.
func (s *Server) awaitChange(r *http.Request, key string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err != nil || after == 0 {
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		wait = defaultWatchWait
	}
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
		e := s.entries[key]
		hasChanged := e == nil || e.index != after
		changed := s.changed
		stuck := s.fault.StuckWatches
		down := s.fault.Down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !stuck && hasChanged {
			return
		}
		expired := timer.C
		if stuck {
			expired = nil
		}
		select {
		case <-changed:
		case <-expired:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return body, true
}

func (s *Server) putKV(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	if len(body) > store.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case query.Has("cas"):
		index, err := strconv.ParseUint(query.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, "cas is not a number", http.StatusBadRequest)
			return
		}
		writeBool(w, s.compareAndSwap(keyOf(p), body, index))
	case query.Has("acquire"):
		writeBool(w, s.acquire(keyOf(p), body, query.Get("acquire")))
	case query.Has("release"):
		e := s.entries[keyOf(p)]
		held := e != nil && e.holder == query.Get("release")
		if held {
			s.write(keyOf(p), body).holder = ""
		}
		writeBool(w, held)
	default:
		s.write(keyOf(p), body)
		writeBool(w, true)
	}
}

func (s *Server) deleteKV(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	index, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas is not a number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[keyOf(p)]
	if e == nil || e.index != index {
		writeBool(w, false)
		return
	}
	delete(s.entries, keyOf(p))
	s.index++
	s.wake()
	writeBool(w, true)
}

// txn executes check-session and cas operations atomically.
func (s *Server) txn(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var ops []struct {
		KV struct {
			Verb, Key, Session string
			Value              []byte
			Index              uint64
		}
	}
	if err := json.Unmarshal(body, &ops); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, op := range ops {
		e := s.entries[op.KV.Key]
		held := e != nil && op.KV.Session != "" && e.holder == op.KV.Session
		matches := (e == nil && op.KV.Index == 0) || (e != nil && e.index == op.KV.Index)
		if (op.KV.Verb == "check-session" && !held) || (op.KV.Verb == "cas" && !matches) {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for _, op := range ops {
		if op.KV.Verb == "cas" {
			s.write(op.KV.Key, op.KV.Value)
		}
	}
	writeJSON(w, map[string]any{"Errors": nil})
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var in struct{ Name, TTL string }
	if err := json.Unmarshal(body, &in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(in.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "TTL is not a positive duration", http.StatusBadRequest)
		return
	}
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	id := hex.EncodeToString(raw[:])
	s.mu.Lock()
	s.sessions[id] = &sessionState{ttl: ttl, expires: s.now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, map[string]string{"ID": id})
}

func (s *Server) renewSession(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	session := s.sessions[p.ByName("id")]
	if session == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	session.expires = s.now().Add(session.ttl)
	writeJSON(w, []map[string]string{{"ID": p.ByName("id")}})
}

func (s *Server) destroySession(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(p.ByName("id"))
	writeBool(w, true)
}

// catalogEntry is an entry of the list of VMs.
type catalogEntry struct {
	ServiceID      string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

func (s *Server) catalog(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	out := []catalogEntry{}
	for _, vm := range s.visibleVMs() {
		host, port, err := net.SplitHostPort(vm.PeerAddress)
		if err != nil {
			continue
		}
		portNumber, err := strconv.Atoi(port)
		if err != nil {
			continue
		}
		state := "live"
		if vm.Leaving {
			state = "leaving"
		}
		out = append(out, catalogEntry{
			ServiceID: vm.ID, ServiceAddress: host, ServicePort: portNumber,
			ServiceMeta: map[string]string{"region": vm.Region, "data_centre": vm.DataCentre, "state": state},
		})
	}
	writeJSON(w, out)
}

func (s *Server) putFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	writeBool(w, true)
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var vms []store.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(vms)
	writeBool(w, true)
}
