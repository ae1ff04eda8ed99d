package node

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/balance"
)

// Requests must not spend the retry budget on a region whose instances all refuse
// connections, and such a region must be tried again.
func TestRegionThatRefusesConnectionsIsAvoided(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := connectRefusals{refusedAt: make(map[string]time.Time)}
	f.record(now, "a", balance.ConnectFailed)
	f.record(now, "a", balance.ConnectFailed)
	if !f.admit(now, 2) {
		t.Error("refused although one instance is not known to refuse")
	}
	f.record(now, "b", balance.ConnectFailed)
	admitted := 0
	for i := range 1000 {
		if f.admit(now.Add(time.Duration(i)*time.Millisecond), 2) {
			admitted++
		}
	}
	if want := int(time.Second / regionTrialInterval); admitted != want {
		t.Errorf("%d requests in 1 s tried the region, want %d", admitted, want)
	}
	f.record(now, "b", balance.Lost)
	if f.admit(now.Add(time.Second-time.Millisecond), 2) {
		t.Error("an outcome that does not show an accepted connection opened the region")
	}
	f.record(now, "b", balance.Answered)
	for range 2 {
		if !f.admit(now, 2) {
			t.Error("refused after an instance answered")
		}
	}
	f.record(now, "b", balance.ConnectFailed)
	if f.admit(now, 2) || !f.admit(now.Add(refusalTTL), 2) || !f.admit(now.Add(refusalTTL), 2) {
		t.Error("a refused connection is remembered for longer than refusalTTL")
	}
	f.retain(map[string]string{"b": "", "c": ""})
	if !f.admit(now, 2) {
		t.Error("an instance that was removed from the pool is included")
	}
}
