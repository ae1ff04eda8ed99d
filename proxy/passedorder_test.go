package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/currantferry/currantferry/standin"
)

// A VM that works on an order that another VM passed on must complete it although the connection
// between the VMs is lost: nobody can take the work back, and the caller's resend needs its end.
func TestPassedOnOrderIsCompleted(t *testing.T) {
	for _, unkeyed := range []bool{false, true} {
		slow := startUpstream(t, standin.UpstreamOptions{ID: "slow", WorkTime: 800 * time.Millisecond})
		vm := startOtherVM(t, slow.Address())
		vm.handler.options.FinishUnkeyed = unkeyed
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+vm.address+"/order", nil)
		req.Host = "proefbank.example"
		req.Header.Set(HeaderTransit, "1")
		req.Header.Set(HeaderTransitKey, "k")
		req.Header.Set(headerTransitLeft, "5000")
		req.Header.Set(headerTransitAttempts, "1")
		req.Header.Set(HeaderKey, "order-1")
		_, _ = http.DefaultTransport.RoundTrip(req)
		for end := time.Now().Add(10 * time.Second); vm.handler.InFlight() > 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		vm.mu.Lock()
		if len(vm.outcomes) != 1 || vm.outcomes[0].Status != 200 {
			t.Errorf("FinishUnkeyed %t: the order was given up", unkeyed)
		}
		vm.mu.Unlock()
	}
}
