package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantferry/currantferry/caller"
	"github.com/currantferry/currantferry/config"
	"github.com/currantferry/currantferry/configstore"
	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/node"
	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
	"github.com/currantferry/currantferry/standin"
	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/kvhttp"
	storestandin "github.com/currantferry/currantferry/store/standin"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "currantferry-e2e")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binaries = dir
		if out, err := exec.Command("go", "build", "-o", dir, "../cmd/currantferryd", "../cmd/standin").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// process is a started program. firstLine is the first line of its standard output, and
// log its standard error.
type process struct {
	cmd       *exec.Cmd
	log       *testkit.Buffer
	firstLine string
	exited    chan struct{}
}

// start starts a program and waits for the first line of its output.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, name), args...), log: new(testkit.Buffer), exited: make(chan struct{})}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.kill() })
	lines := make(chan string, 1)
	go func() {
		s := bufio.NewScanner(out)
		s.Scan()
		lines <- s.Text()
		_, _ = io.Copy(io.Discard, out)
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	select {
	case p.firstLine = <-lines:
	case <-time.After(10 * time.Second):
	}
	if p.firstLine == "" {
		t.Fatalf("%s %v did not start:\n%s", name, args, p.log)
	}
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) logText() string { return p.log.String() }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// place is a data centre with its region.
type place struct{ region, dataCentre string }

var places = []place{{"randstad", "rotterdam-a"}, {"randstad", "amsterdam-b"}, {"noord", "groningen-a"}}

// vm is an entry VM with the relay in front of its peer listener and the one between it
// and the store.
type vm struct {
	*process
	id           string
	place        place
	peer         *testkit.Relay
	store        *testkit.Relay
	settingsPath string
	// callerAddress and adminAddress stay the same when the VM restarts.
	callerAddress, adminAddress string
}

// cluster is a store, upstreams and entry VMs. The store and the upstreams run in the
// process of the test, which can therefore read the upstreams' records.
type cluster struct {
	t         *testing.T
	store     *storestandin.Server
	storeAddr string
	client    *kvhttp.Client
	ledger    *standin.Ledger
	upstreams map[string]*standin.Upstream
	vms       []*vm
	register  *register.Register
	version   uint64
}

const (
	service        = "proefbank"
	instancesPerDC = 2
)

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, store: storestandin.New(), ledger: standin.NewLedger(), upstreams: make(map[string]*standin.Upstream)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: c.store.Handler()}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	c.storeAddr = l.Addr().String()
	if c.client, err = kvhttp.New(kvhttp.Options{Addresses: []string{c.storeAddr}}); err != nil {
		t.Fatal(err)
	}
	c.startUpstreams()
	c.publish(rules.Rules{})
	for i, p := range places {
		c.vms = append(c.vms, c.newVM(fmt.Sprintf("vm-%d", i+1), p))
	}
	c.updateVMList()
	for _, v := range c.vms {
		c.startVM(v)
	}
	c.waitReady()
	return c
}

func (c *cluster) startUpstreams() {
	r := &register.Register{
		Name: "e2e",
		Regions: []register.Region{
			{Name: "randstad", DataCentres: []register.DataCentre{{Name: "rotterdam-a"}, {Name: "amsterdam-b"}}},
			{Name: "noord", DataCentres: []register.DataCentre{{Name: "groningen-a"}}},
		},
		Links:    []register.Link{{A: "randstad", B: "noord", BitsPerSecond: 4e9, OneWayMillis: 1}},
		Services: []register.Service{{Name: service, TimeoutMillis: 5000}},
	}
	for _, p := range places {
		for i := range instancesPerDC {
			id := fmt.Sprintf("%s-%s-%d", service, p.dataCentre, i+1)
			u := c.startUpstream(id, "")
			r.Services[0].Instances = append(r.Services[0].Instances, register.Instance{ID: id, Address: u.Address(), DataCentre: p.dataCentre, Slots: 9})
		}
	}
	c.register = r
}

// startUpstream starts or restarts an instance. An empty address means any free port.
func (c *cluster) startUpstream(id, address string) *standin.Upstream {
	c.t.Helper()
	u, err := standin.StartUpstream(standin.UpstreamOptions{ID: id, Address: address, Slots: 9, Ledger: c.ledger, CrashTime: 300 * time.Millisecond})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { u.Close() })
	c.upstreams[id] = u
	return u
}

func (c *cluster) publish(r rules.Rules) {
	c.t.Helper()
	publisher := configstore.New(c.client, configstore.Options{})
	meta := config.Meta{ChangeID: fmt.Sprintf("change-%d", time.Now().UnixNano()), By: "test", At: time.Now(), Why: "test"}
	result, err := publisher.Publish(context.Background(), c.version, config.Content{Register: c.register, Rules: &r}, meta)
	if err != nil {
		c.t.Fatal(err)
	}
	c.version = result.Version
}

// newVM writes the settings of a VM, with free ports for its listeners. It does not start
// the VM.
func (c *cluster) newVM(id string, p place) *vm {
	v := &vm{id: id, place: p, peer: testkit.NewRelay(c.t, freeAddress(c.t)), store: testkit.NewRelay(c.t, c.storeAddr), settingsPath: filepath.Join(c.t.TempDir(), id+".ini")}
	v.callerAddress, v.adminAddress = freeAddress(c.t), freeAddress(c.t)
	var seeds []string
	for _, other := range c.vms {
		seeds = append(seeds, other.peer.Address())
	}
	ini := fmt.Sprintf("[vm]\nid = %s\nregion = %s\ndata_centre = %s\n[listen]\ncaller = %s\npeer = %s\nadvertise_peer = %s\nadmin = %s\n"+
		"[store]\naddresses = %s\ntimeout = 1s\nlease_ttl = 5s\n[peers]\nseeds = %s\n[lookup]\nttl = 1s\n[node]\nlookup_grace = 1500ms\nstop_timeout = 20s\n[log]\nlevel = debug\n",
		id, p.region, p.dataCentre, v.callerAddress, v.peer.Target(), v.peer.Address(), v.adminAddress, v.store.Address(), strings.Join(seeds, ", "))
	if err := os.WriteFile(v.settingsPath, []byte(ini), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return v
}

// nextPort counts the ports that freeAddress tried. They are below the range from which
// the system takes ports for connections, and concurrent test processes most likely start
// at different ports, so that tests which run in parallel do not take each other's ports.
var nextPort atomic.Int32

const (
	numPortRanges = 40
	portsPerRange = 290
)

var firstPort = int32(21000 + os.Getpid()%numPortRanges*portsPerRange)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (c *cluster) startVM(v *vm) {
	c.t.Helper()
	v.process = start(c.t, "currantferryd", "run", "-config", v.settingsPath)
}

// updateVMList sets the platform's list of VMs to those of the cluster.
func (c *cluster) updateVMList() {
	var vms []store.VM
	for _, v := range c.vms {
		vms = append(vms, store.VM{ID: v.id, DataCentre: v.place.dataCentre, Region: v.place.region, PeerAddress: v.peer.Address()})
	}
	c.store.SetVMs(vms)
}

func (c *cluster) status(v *vm) (node.Status, error) {
	var s node.Status
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + v.adminAddress + "/v1/status")
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

// waitReady waits until every VM is ready, has a plan and reports all VMs as serving.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, v := range c.vms {
		c.eventually(10*time.Second, v.id+" reports all VMs as serving", func() bool {
			s, err := c.status(v)
			serving := 0
			for _, m := range s.Members {
				if m.State == "serving" {
					serving++
				}
			}
			return err == nil && s.Ready && serving == len(c.vms) && s.Plan > 0
		})
	}
}

// eventually waits until ok returns true. After the timeout it fails the test with the
// expected condition and the status of every VM.
func (c *cluster) eventually(timeout time.Duration, condition string, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, v := range c.vms {
				s, err := c.status(v)
				c.t.Logf("%s: %+v %v", v.id, s, err)
			}
			c.t.Fatalf("not within %s: %s", timeout, condition)
		}
	}
}

// caller returns a client with all VMs as bootstrap addresses.
func (c *cluster) caller() *caller.Client { return c.callerOf(c.vms...) }

// callerOf returns a client with the given VMs as bootstrap addresses.
func (c *cluster) callerOf(vms ...*vm) *caller.Client {
	var bootstrap []string
	for _, v := range vms {
		bootstrap = append(bootstrap, v.callerAddress)
	}
	client := caller.New(caller.Options{Bootstrap: bootstrap, Seed: 1})
	c.t.Cleanup(client.Close)
	return client
}

// sendDirect sends one request to one VM without the caller library, so that it is not
// resent.
func sendDirect(ctx context.Context, v *vm, method, key string, header map[string]string, body string) (*http.Response, []byte, error) {
	path := "/order"
	if header[standin.HeaderCrash] != "" {
		path = "/crash"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Host = service
	req.GetBody = nil
	for name, value := range header {
		req.Header.Set(name, value)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res, data, err
}

// stateOf returns the state of a member, or an empty string if it is not in the list.
func stateOf(members []node.MemberStatus, id string) string {
	for _, m := range members {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}
