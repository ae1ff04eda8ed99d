//go:build review

// Package harness starts entry VMs as processes on loopback, with the platform's store and
// instances as stand-ins, for the cases of the review.
package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/currantferry/currantferry/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Regions holds the region of each data centre in the settings that are written from now
// on.
var Regions = map[string]string{"north-1": "north", "north-2": "north", "south-1": "south", "south-2": "south"}

// Settings are the settings of a VM that cases change. The others are those of a small site.
type Settings struct {
	MemoryMB  int
	StopGrace float64
	Store     string
}

// VM is an entry VM.
type VM struct {
	ID, Zone                    string
	Caller, Ready, Lookup, Peer string
	Settings                    Settings
	file                        string
	log                         *os.File
	cmd                         *exec.Cmd
	Exited                      chan struct{}
	mu                          sync.Mutex
	world                       *World
}

// World is a deployment with its record.
type World struct {
	Store  *standin.Store
	Dir    string
	record *os.File
	began  time.Time
	mu     sync.Mutex
	vms    []*VM
	ip     string
	nextIP int
}

// New starts the store. folder is the folder of the case, to which the record is written.
func New(folder string) *World {
	dir, err := os.MkdirTemp("", "currantferry-review-")
	Must(err)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	Must(err)
	w := &World{Dir: dir, record: record, began: time.Now()}
	go w.exitOnSignal()
	w.Store, err = standin.StartStore(w.NewIP() + ":0")
	Must(err)
	return w
}

// Must ends the process as not run if there is an error.
func Must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		exitAll(NotRun)
	}
}

var (
	liveMu sync.Mutex
	live   = make(map[*exec.Cmd]bool)
)

// exitAll kills all processes that were started and exits.
func exitAll(code int) {
	liveMu.Lock()
	for cmd := range live {
		_ = cmd.Process.Kill()
	}
	liveMu.Unlock()
	os.Exit(code)
}

// maxDuration is how long a case may run.
const maxDuration = 115 * time.Second

// exitOnSignal ends the case as not run when it is told to stop, or takes too long.
func (w *World) exitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-signals:
		w.Sayf("stopped by %s", s)
	case <-time.After(maxDuration):
		w.Sayf("not finished after %s", maxDuration)
	}
	os.RemoveAll(w.Dir)
	exitAll(NotRun)
}

// Trouble reports whether the disruption is to be caused.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// NewIP returns a loopback address that no other part of the case uses.
func (w *World) NewIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextIP++
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, w.nextIP)
}

// Logf writes a line to the record, with the time since the start.
func (w *World) Logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes a line to the record and to standard output.
func (w *World) Sayf(format string, args ...any) {
	w.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// End stops everything and exits: Broken if the rule was broken.
func (w *World) End(broken bool) {
	code := Held
	if broken {
		code = Broken
	}
	w.Sayf("exit %d", code)
	w.record.Close()
	for _, v := range w.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			<-v.Exited
		}
	}
	w.Store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.Dir)
	} else {
		fmt.Println("logs:", w.Dir)
	}
	exitAll(code)
}

func freePorts(ip string, count int) []string {
	var out []string
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		Must(err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// NewVM prepares a VM without starting it.
func (w *World) NewVM(id, zone string, s Settings) *VM {
	p := freePorts(w.NewIP(), 4)
	v := &VM{ID: id, Zone: zone, Caller: p[0], Ready: p[1], Lookup: p[2], Peer: p[3], Settings: s, file: filepath.Join(w.Dir, id+".ini"), world: w}
	if v.Settings.Store == "" {
		v.Settings.Store = w.Store.Address()
	}
	if v.Settings.StopGrace == 0 {
		v.Settings.StopGrace = 6
	}
	if v.Settings.MemoryMB == 0 {
		v.Settings.MemoryMB = 284
	}
	v.WriteSettings()
	w.vms = append(w.vms, v)
	return v
}

// WriteSettings writes the settings file as deploy/entry.ini.tmpl makes it.
func (v *VM) WriteSettings() {
	var t strings.Builder
	s := &v.Settings
	fmt.Fprintf(&t, "[vm]\nid = %s\ndata_centre = %s\nregion = %s\nmemory_mb = %d\ncpu_share = 0.32\ncpu_speed = 1\nlink_mbps = 1000.0\n", v.ID, v.Zone, Regions[v.Zone], s.MemoryMB)
	fmt.Fprintf(&t, "[listen]\ncaller = %s\nready = %s\nlookup = %s\npeer = %s\n[data_centres]\n", v.Caller, v.Ready, v.Lookup, v.Peer)
	for zone, region := range Regions {
		fmt.Fprintf(&t, "%s = %s\n", zone, region)
	}
	fmt.Fprintf(&t, "[store]\naddress = %s\nlease_minimum = 1\n[bounds]\ncold_over = 1.5\ncold_slack = 5\nshift_most = 0.15\nretry_ratio = 0.2\nretry_slack = 62\n", s.Store)
	fmt.Fprintf(&t, "drain_time = 2.5\nstop_grace = %g\nstable_window = 4\nlookup_ttl_most = 5\n", s.StopGrace)
	Must(os.WriteFile(v.file+".new", []byte(t.String()), 0o600))
	Must(os.Rename(v.file+".new", v.file))
}

// Start starts the process of the VM with the command of the deploy file.
func (v *VM) Start() {
	log, err := os.OpenFile(filepath.Join(v.world.Dir, v.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	cmd := exec.Command("target/currantferryd", "entry")
	if d := os.Getenv("DAEMON"); d != "" {
		cmd = exec.Command(d, "entry")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "CURRANTFERRY_NODE_FILE=" + v.file}
	Must(cmd.Start())
	liveMu.Lock()
	live[cmd] = true
	liveMu.Unlock()
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		log.Close()
		liveMu.Lock()
		delete(live, cmd)
		liveMu.Unlock()
		close(exited)
	}()
	v.mu.Lock()
	v.cmd, v.Exited = cmd, exited
	v.mu.Unlock()
}

// Pid returns the process ID.
func (v *VM) Pid() int { return v.cmd.Process.Pid }

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// HasExited reports whether the process has ended.
func (v *VM) HasExited() bool {
	select {
	case <-v.Exited:
		return true
	default:
		return false
	}
}

// IsReady asks the readiness check.
func (v *VM) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, standin.ReadyURL(v.Ready), http.NoBody)
	Must(err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until all VMs are ready.
func (w *World) AwaitReady(vms ...*VM) {
	for _, v := range vms {
		for end := time.Now().Add(15 * time.Second); !v.IsReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				Must(fmt.Errorf("VM %s is not ready", v.ID))
			}
		}
	}
}

// Result is the result of a request.
type Result struct {
	Status int
	Body   string
	Header http.Header
	Err    error
	Sent   time.Time
	Took   time.Duration
	NotRun bool
}

// Do sends a request on a new connection and reads its answer.
func Do(ctx context.Context, c *standin.Call, vm string) Result {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return DoWith(ctx, &client, c, vm)
}

// DoWith sends a request with a client.
func DoWith(ctx context.Context, client *http.Client, c *standin.Call, vm string) Result {
	r := Result{Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := c.Request(ctx, vm)
	Must(err)
	res, err := client.Do(req)
	if err != nil {
		r.Err, r.Took = err, time.Since(r.Sent)
		return r
	}
	body, err := io.ReadAll(res.Body)
	res.Body.Close()
	r.Status, r.Body, r.Header, r.Err, r.Took = res.StatusCode, string(body), res.Header, err, time.Since(r.Sent)
	return r
}
