package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/currantferry/currantferry/lookup"
)

const (
	// noAnswerTimeout is how long a VM may send no answer to any request before a
	// waiting request causes a probe. A slow upstream alone has no effect: if the VM
	// answers the probe, the request keeps waiting.
	noAnswerTimeout = 300 * time.Millisecond
	// probeTimeout bounds a probe. Together with noAnswerTimeout it keeps the time
	// until a request is sent to another VM below 1 s.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the time between two probes of an unreachable VM.
	probeInterval = 500 * time.Millisecond
	// maxVMs bounds the number of VMs whose health is kept.
	maxVMs = 1024
)

// vmHealth is the client's estimate of a VM's health.
type vmHealth struct {
	lastAnswer  time.Time
	unreachable bool
	probing     bool
	nextProbe   time.Time
}

// health returns the health of a VM. The caller holds the lock.
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

// recordAnswer records an answer, whatever its status.
func (c *Client) recordAnswer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health(address)
	h.lastAnswer, h.unreachable = time.Now(), false
}

// recordFailure records a connection that failed without an answer. The VM is used
// again after it has answered a probe; the next probe starts after probeDelay at the
// earliest.
func (c *Client) recordFailure(address string, probeDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health(address)
	h.unreachable, h.nextProbe = true, time.Now().Add(probeDelay)
}

func (c *Client) isUnreachable(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isUnreachableLocked(address)
}

// isUnreachableLocked reports whether a VM doesn't answer, and starts a probe of such
// a VM if one is due. The caller holds the lock.
func (c *Client) isUnreachableLocked(address string) bool {
	h := c.vms[address]
	if h == nil || !h.unreachable {
		return false
	}
	if now := time.Now(); !now.Before(h.nextProbe) {
		c.startProbe(address, h)
	}
	return true
}

// isSuspect reports whether a VM with a waiting request is unreachable. If the VM
// hasn't answered any request for noAnswerTimeout, a probe is started.
func (c *Client) isSuspect(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.health(address)
	if !h.unreachable && time.Since(h.lastAnswer) > noAnswerTimeout {
		c.startProbe(address, h)
	}
	return h.unreachable
}

// startProbe starts a probe of a VM unless one is running. The caller holds the lock.
func (c *Client) startProbe(address string, h *vmHealth) {
	if h.probing {
		return
	}
	h.probing = c.background(func() {
		err := c.sendProbe(address)
		if err == nil {
			c.recordAnswer(address)
		} else {
			c.recordFailure(address, probeInterval)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		h.probing = false
	})
}

// sendProbe sends a lookup. Any status shows that the VM is reachable.
func (c *Client) sendProbe(address string) error {
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
