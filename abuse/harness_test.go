package abuse

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/platform/standin"
)

// The settings of the VM under test. Its memory is a third of that of the smallest VMs, so
// that crowds of some hundred connections stand for those of some thousand.
const (
	memoryMB            = 64
	maxCallers          = 500
	maxReadyCallers     = 100
	maxLookupCallers    = 100
	maxPeerCallers      = 200
	maxOtherDescriptors = 150
)

// daemon is the path of the program under test.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "abuse")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "currantferryd")
	build := exec.Command("go", "build", "-o", daemon, "./cmd/currantferryd")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// vm is the process under test with its surroundings.
type vm struct {
	t                           *testing.T
	caller, ready, lookup, peer string
	logPath                     string
	cmd                         *exec.Cmd
	exited                      chan struct{}
	instances                   []*standin.Instance
	store                       *standin.Store
}

// startVM starts a VM with lowered bounds.
func startVM(t *testing.T) *vm {
	t.Helper()
	return startVMWith(t, memoryMB, 2, 8, fmt.Sprintf(`[callers]
connections = %d
connections_ready = %d
connections_lookup = %d
connections_peer = %d
grace = 1
`, maxCallers, maxReadyCallers, maxLookupCallers, maxPeerCallers))
}

// startVMWith starts a VM with a memory in MB and further settings, and instances with slots.
func startVMWith(t *testing.T, memory, instances, slots int, more string) *vm {
	t.Helper()
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.Configure(standin.Configuration(1, "shop", 8*time.Second, 1000))
	v := &vm{t: t, exited: make(chan struct{}), store: store}
	for n := range instances {
		i, err := standin.StartInstance(testkit.UniqueLoopbackIP()+":0", fmt.Sprint("i-", n), slots, 2*slots, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(i.Close)
		store.Register(i, "shop", "zone-1", "ready")
		v.instances = append(v.instances, i)
	}
	dir := t.TempDir()
	free := testkit.FreeAddresses(t, testkit.UniqueLoopbackIP(), 4)
	v.caller, v.ready, v.lookup, v.peer = free[0], free[1], free[2], free[3]
	settings := fmt.Sprintf(`[vm]
id = vm-1
data_centre = zone-1
region = region-1
memory_mb = %d
[listen]
caller = %s
ready = %s
lookup = %s
peer = %s
[data_centres]
zone-1 = region-1
[store]
address = %s
lease_minimum = 1
[bounds]
stop_grace = 3
%s`, memory, v.caller, v.ready, v.lookup, v.peer, store.Address(), more)
	path := filepath.Join(dir, "vm.ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	v.logPath = filepath.Join(dir, "vm.log")
	log, err := os.Create(v.logPath)
	if err != nil {
		t.Fatal(err)
	}
	v.cmd = exec.Command(daemon, "entry", "-config", path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = v.cmd.Wait()
		log.Close()
		close(v.exited)
	}()
	t.Cleanup(func() {
		_ = v.cmd.Process.Kill()
		<-v.exited
		if t.Failed() {
			v.printLog()
		}
	})
	v.awaitOrdinary("before")
	return v
}

// maxLogLines bounds the lines of the VM's log that a failed test prints.
const maxLogLines = 10

// printLog prints the last warnings of the VM.
func (v *vm) printLog() {
	data, _ := os.ReadFile(v.logPath)
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if line != "" && !strings.Contains(line, `"level":"DEBUG"`) {
			lines = append(lines, line)
		}
	}
	v.t.Log(strings.Join(lines[max(0, len(lines)-maxLogLines):], "\n"))
}

// eventLines returns the lines of an event in the VM's log.
func (v *vm) eventLines(event int) string {
	data, _ := os.ReadFile(v.logPath)
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, fmt.Sprintf(`"event":%d,`, event)) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

func (v *vm) isAlive() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

// peakMB returns the peak resident memory of the process, or 0 if it has ended.
func (v *vm) peakMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

func (v *vm) numDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.cmd.Process.Pid))
	return len(entries)
}

// ordinaryTimeout is when an ordinary request is given up, so that a VM that hangs fails the
// test. It is no target.
const ordinaryTimeout = 20 * time.Second

// awaitOrdinary sends ordinary requests to all ports until each has answered one.
func (v *vm) awaitOrdinary(id string) {
	v.t.Helper()
	call := standin.Call{ID: id, Order: true, Body: "an ordinary order", Timeout: 2 * time.Second}
	for _, port := range []struct {
		name    string
		request func(ctx context.Context) (*http.Request, error)
	}{
		{"ready", get(standin.ReadyURL(v.ready))},
		{"caller", func(ctx context.Context) (*http.Request, error) { return call.Request(ctx, v.caller) }},
		{"lookup", get(standin.LookupURL(v.lookup, "region-1", "zone-1"))},
		{"peer", get("http://" + v.peer + "/metrics")},
	} {
		var last string
		for end := time.Now().Add(ordinaryTimeout); ; time.Sleep(20 * time.Millisecond) {
			if last = ask(port.request); last == "" {
				break
			}
			if time.Now().After(end) || !v.isAlive() {
				v.t.Fatalf("%s port: no ordinary request answered %s the callers outside the limits; last: %s", port.name, id, last)
			}
		}
	}
}

func get(url string) func(ctx context.Context) (*http.Request, error) {
	return func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	}
}

// ask sends a request on a new connection and returns what was wrong with its answer.
func ask(request func(ctx context.Context) (*http.Request, error)) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := request(ctx)
	if err != nil {
		return err.Error()
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return res.Status
	}
	return ""
}

// crowd is a group of connections of callers outside the limits.
type crowd struct {
	mu     sync.Mutex
	conns  []net.Conn
	closed bool
	wg     sync.WaitGroup
}

// dialTimeout bounds the opening of one connection, which a VM may refuse.
const dialTimeout = 3 * time.Second

// join opens size connections and runs the behaviour on each. What the VM answers, and
// errors because it closes a connection, are ignored: a caller outside the limits may be
// refused in any way.
func (c *crowd) join(address string, size int, behave func(conn net.Conn, n int)) {
	for n := range size {
		c.wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			closed := c.closed
			if !closed {
				c.conns = append(c.conns, conn)
			}
			c.mu.Unlock()
			if closed {
				conn.Close()
				return
			}
			behave(conn, n)
		})
	}
}

// leave closes all connections and waits for the behaviours to end.
func (c *crowd) leave() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
	c.wg.Wait()
}

// observe samples the process while the crowd is there, and returns the peaks.
func (v *vm) observe(period time.Duration) (peakMB float64, peakDescriptors int) {
	for end := time.Now().Add(period); time.Now().Before(end) && v.isAlive(); time.Sleep(20 * time.Millisecond) {
		peakMB, peakDescriptors = max(peakMB, v.peakMB()), max(peakDescriptors, v.numDescriptors())
	}
	return peakMB, peakDescriptors
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	if err := v.cmd.Process.Signal(s); err != nil {
		v.t.Error(err)
	}
}
