package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/currantferry/currantferry/lookup"
)

const (
	// patience is how long a request waits at a VM that nothing was heard of
	// before the VM is probed. Slow upstreams do not count: a VM that answers
	// the probe is left to finish.
	patience = 300 * time.Millisecond
	// probeTimeout bounds a probe. With patience it keeps the time until a
	// request goes to another VM under 1 s.
	probeTimeout = 400 * time.Millisecond
	// probeInterval between two probes of a VM that does not answer.
	probeInterval = 500 * time.Millisecond
	// maxVMs bounds the VMs that are remembered.
	maxVMs = 1024
)

// vmHealth is what the client knows about one VM.
type vmHealth struct {
	heard     time.Time
	silent    bool
	probing   bool
	nextProbe time.Time
}

// health returns the state of a VM. The caller holds the lock.
func (c *Client) health(address string) *vmHealth {
	h := c.vms[address]
	if h == nil {
		if len(c.vms) >= maxVMs {
			clear(c.vms)
		}
		h = new(vmHealth)
		c.vms[address] = h
	}
	return h
}

// heard notes an answer of any kind.
func (c *Client) heard(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health(address)
	h.heard, h.silent = time.Now(), false
}

// lost notes a connection that failed without an answer. The VM is used again
// once a probe finds that it answers; the next probe starts after pause.
func (c *Client) lost(address string, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health(address)
	h.silent, h.nextProbe = true, time.Now().Add(pause)
}

func (c *Client) isSilent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent(address)
}

// silent tells whether a VM does not answer, and probes it from time to time
// until it does. The caller holds the lock.
func (c *Client) silent(address string) bool {
	h := c.vms[address]
	if h == nil || !h.silent {
		return false
	}
	if now := time.Now(); !now.Before(h.nextProbe) {
		c.probe(address, h)
	}
	return true
}

// suspect tells whether a request that waits at a VM should go to another one.
func (c *Client) suspect(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health(address)
	if !h.silent && time.Since(h.heard) > patience {
		c.probe(address, h)
	}
	return h.silent
}

// probe asks a VM for a sign of life. The caller holds the lock.
func (c *Client) probe(address string, h *vmHealth) {
	if h.probing {
		return
	}
	h.probing = c.background(func() {
		err := c.ping(address)
		if err == nil {
			c.heard(address)
		} else {
			c.lost(address, probeInterval)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		h.probing = false
	})
}

// ping sends a lookup; any status shows that the VM answers.
func (c *Client) ping(address string) error {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+lookup.Path, nil)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}
