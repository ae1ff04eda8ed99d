//go:build review

// Package fleet starts the entry VMs of a small deployment as processes, with settings like
// those that the template of the deploy file makes, and records what a case sees.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Daemon is the program of the deploy file.
const Daemon = "target/currantferryd"

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, began: time.Now()}, err
}

// Logf writes a line with the time since the record was created.
func (r *Record) Logf(format string, args ...any) { r.LogAt(time.Now(), format, args...) }

// LogAt writes a line with the given time.
func (r *Record) LogAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// Fail ends a case that could not run.
func Fail(r *Record, format string, args ...any) {
	r.Logf("the case could not run: "+format, args...)
	fmt.Printf("the case could not run: "+format+"\n", args...)
	r.Close()
	os.Exit(2)
}

// FreeAddress returns a free port at a loopback address drawn at random, which other programs are
// unlikely to use.
func FreeAddress() string {
	ip := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(250))
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// VM is an entry VM.
type VM struct {
	ID, Caller, Ready, Lookup, Peer string
	settings                        string
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

// Zones are the data centres of the deployment with their regions.
var Zones = [][2]string{
	{"rotterdam-a", "randstad"}, {"amsterdam-b", "randstad"}, {"groningen-a", "noord"}, {"leeuwarden-b", "noord"}, {"eindhoven-a", "zuid"}, {"maastricht-b", "zuid"},
}

// NewVM writes the settings of a VM in a zone.
func NewVM(dir, id, zone, store string) (*VM, error) {
	v := &VM{ID: id, Caller: FreeAddress(), Ready: FreeAddress(), Lookup: FreeAddress(), Peer: FreeAddress(), settings: filepath.Join(dir, id+".ini")}
	region := ""
	zones := ""
	for _, z := range Zones {
		zones += z[0] + " = " + z[1] + "\n"
		if z[0] == zone {
			region = z[1]
		}
	}
	text := fmt.Sprintf(`[vm]
id = %s
data_centre = %s
region = %s
memory_mb = 284
cpu_share = 0.32
cpu_speed = 1
link_mbps = 1000.0

[listen]
caller = %s
ready = %s
lookup = %s
peer = %s

[data_centres]
%s
[store]
address = %s
lease_minimum = 1

[bounds]
cold_over = 1.5
cold_slack = 5
shift_most = 0.15
retry_ratio = 0.2
retry_slack = 64
drain_time = 2.5
stop_grace = 6
stable_window = 4
lookup_ttl_most = 5
config_time = 2.5
`, id, zone, region, v.Caller, v.Ready, v.Lookup, v.Peer, zones, store)
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// Start starts the process. Its output goes to a file beside the settings.
func (v *VM) Start() error {
	log, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(Daemon, "entry", "-config", v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(v.exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (v *VM) Signal(s syscall.Signal) { _ = v.cmd.Process.Signal(s) }

// Kill ends the process.
func (v *VM) Kill() {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	<-v.exited
}

// Exited is closed when the process has ended.
func (v *VM) Exited() <-chan struct{} { return v.exited }

// IsReady reports whether the VM answers its readiness check with 200.
func (v *VM) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + v.Ready + "/v1/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until the VM is ready, for 10 s at most.
func (v *VM) AwaitReady() bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.IsReady() {
			return true
		}
	}
	return false
}
