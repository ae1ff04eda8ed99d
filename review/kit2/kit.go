//go:build review

// Package kit2 starts entry VMs as processes beside stand-ins, for the scripts of the second
// review. It is not part of the product.
package kit2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The command of the deploy file.
const (
	program = "target/currantferryd"
	role    = "entry"
)

// Record is what a case writes down: a line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Line writes a line with the time since the start in seconds.
func (r *Record) Line(format string, args ...any) { r.LineAt(time.Now(), format, args...) }

// LineAt is Line for another time.
func (r *Record) LineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, args...)...)
}

// VM is an entry VM, a process.
type VM struct {
	ID, Caller, Ready string
	dir, settings     string
	cmd               *exec.Cmd
	done              chan struct{}
}

// NewVM writes the settings of a VM, with the keys of deploy/entry.ini.tmpl and the bounds of
// the small sites. Zones holds the region of each zone.
func NewVM(dir, id, zone string, zones map[string]string, store string) (*VM, error) {
	var ports []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().String())
	}
	vm := &VM{ID: id, Caller: ports[0], Ready: ports[1], dir: dir, settings: filepath.Join(dir, id+".ini")}
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nid = %s\ndata_centre = %s\nregion = %s\nmemory_mb = 284\ncpu_share = 0.32\ncpu_speed = 1\nlink_mbps = 1000\n\n", id, zone, zones[zone])
	fmt.Fprintf(&b, "[listen]\ncaller = %s\nready = %s\nlookup = %s\npeer = %s\n\n[data_centres]\n", ports[0], ports[1], ports[2], ports[3])
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, z)
	}
	sort.Strings(names)
	for _, z := range names {
		fmt.Fprintf(&b, "%s = %s\n", z, zones[z])
	}
	fmt.Fprintf(&b, "\n[store]\naddress = %s\nlease_minimum = 1\n\n", store)
	b.WriteString("[bounds]\ncold_over = 1.5\ncold_slack = 5\nshift_most = 0.15\nretry_ratio = 0.2\nretry_slack = 64\ndrain_time = 2.5\nstop_grace = 6\nstable_window = 4\nlookup_ttl_most = 5\n")
	return vm, os.WriteFile(vm.settings, []byte(b.String()), 0o644)
}

// Start starts the process, as the deploy file does.
func (vm *VM) Start() error {
	out, err := os.Create(filepath.Join(vm.dir, vm.ID+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	vm.cmd = exec.Command(program, role)
	vm.cmd.Env = append(os.Environ(), "CURRANTFERRY_NODE_FILE="+vm.settings)
	vm.cmd.Stdout, vm.cmd.Stderr = out, out
	vm.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := vm.cmd.Start(); err != nil {
		return err
	}
	cmd, done := vm.cmd, make(chan struct{})
	vm.done = done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// Signal sends a signal to the process.
func (vm *VM) Signal(s syscall.Signal) { _ = vm.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (vm *VM) Kill() {
	vm.Signal(syscall.SIGKILL)
	<-vm.done
}

// AwaitReady waits until the VM says that it is ready.
func (vm *VM) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + vm.Ready + "/v1/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", vm.ID, limit)
}
