//go:build review

package kit2

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Way is the way of one VM to the store and to the instances: a proxy in front of the store, which
// names proxies of this VM in place of the instances' addresses, and those proxies. It can be cut.
type Way struct {
	store string
	// delay is the time that a call and its answer take one way. isOwn says that the VM has proxies
	// of its own in front of the instances.
	delay    time.Duration
	isOwn    bool
	listener net.Listener

	mu      sync.Mutex
	proxies map[string]string
	open    map[string]net.Listener
	conns   map[net.Conn]bool
	isCut   bool
}

// NewWay returns the way to the store at an address. If isOwn is false, it leads to the store only, and
// can't be cut.
func NewWay(store string, delay time.Duration, isOwn bool) (*Way, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Way{store: store, delay: delay, isOwn: isOwn, listener: l, proxies: make(map[string]string), open: make(map[string]net.Listener), conns: make(map[net.Conn]bool)}
	go func() { _ = http.Serve(l, w) }()
	return w, nil
}

// Store is the address that the VM takes for the store's.
func (w *Way) Store() string { return w.listener.Addr().String() }

// Cut refuses new connections to instances, and resets those that are open.
func (w *Way) Cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = true
	for address, l := range w.open {
		l.Close()
		delete(w.open, address)
	}
	for c := range w.conns {
		reset(c)
	}
	clear(w.conns)
}

// Heal ends the cut.
func (w *Way) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isCut = false
	for address, proxy := range w.proxies {
		_ = w.listen(address, proxy)
	}
}

// listen opens the proxy in front of an instance. The lock is held.
func (w *Way) listen(address, proxy string) error {
	l, err := net.Listen("tcp", proxy)
	if err != nil {
		return err
	}
	w.open[address], w.proxies[address] = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.carry(c, address)
		}
	}()
	return nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// ServeHTTP passes a call on to the store.
func (w *Way) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	time.Sleep(w.delay)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+w.store+r.URL.RequestURI(), r.Body)
	if err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	req.ContentLength, req.Header = r.ContentLength, r.Header.Clone()
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(w.delay)
	for _, name := range []string{"Content-Type", "Store-Era"} {
		if v := res.Header.Get(name); v != "" {
			out.Header().Set(name, v)
		}
	}
	out.WriteHeader(res.StatusCode)
	if w.isOwn && r.URL.Query().Get("serializable") == "1" {
		// Such a read may be seconds old. Otherwise the VM would read the instances from another
		// VM, with the addresses that the cut doesn't reach.
		data = []byte(`{"items":[],"hasMore":false,"currentRev":1}`)
	}
	if w.isOwn {
		data = w.rewrite(data)
	}
	_, _ = out.Write(data)
}

// rewrite replaces the addresses of instances in an answer of the store.
func (w *Way) rewrite(data []byte) []byte {
	var answer map[string]json.RawMessage
	if json.Unmarshal(data, &answer) != nil {
		return data
	}
	for _, list := range []string{"items", "events"} {
		var items []map[string]json.RawMessage
		if json.Unmarshal(answer[list], &items) != nil {
			continue
		}
		for _, i := range items {
			var key string
			var value []byte
			var entry map[string]json.RawMessage
			var address string
			if json.Unmarshal(i["key"], &key) != nil || !strings.HasPrefix(key, "servers/") || json.Unmarshal(i["value"], &value) != nil ||
				json.Unmarshal(value, &entry) != nil || json.Unmarshal(entry["address"], &address) != nil {
				continue
			}
			entry["address"], _ = json.Marshal(w.proxyOf(address))
			value, _ = json.Marshal(entry)
			i["value"], _ = json.Marshal(value)
		}
		answer[list], _ = json.Marshal(items)
	}
	out, err := json.Marshal(answer)
	if err != nil {
		return data
	}
	return out
}

// proxyOf returns the address of the proxy in front of an instance.
func (w *Way) proxyOf(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.proxies[address]; ok {
		return p
	}
	if w.listen(address, "127.0.0.1:0") != nil {
		return address
	}
	return w.proxies[address]
}

func (w *Way) carry(c net.Conn, address string) {
	other, err := net.Dial("tcp", address)
	w.mu.Lock()
	if err != nil || w.isCut {
		w.mu.Unlock()
		reset(c)
		if err == nil {
			other.Close()
		}
		return
	}
	w.conns[c], w.conns[other] = true, true
	w.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go pipe(c, other)
	go pipe(other, c)
	<-done
	c.Close()
	other.Close()
	w.mu.Lock()
	delete(w.conns, c)
	delete(w.conns, other)
	w.mu.Unlock()
}
