package transit

import (
	"testing"
	"time"
)

// A VM must not take over more requests than it can handle beside those of its own callers,
// and must refuse the less urgent ones first.
func TestAdmissionKeepsToTheCapacity(t *testing.T) {
	const capacity, own = 100, 60
	a := NewAdmission(capacity)
	var admitted [3]int
	const seconds = 10
	for n := range seconds * 1000 {
		now := at(time.Duration(n) * time.Millisecond)
		if n*own/1000 != (n+1)*own/1000 {
			a.RecordOwn(now)
		}
		// 50 requests per second of each priority.
		if n%20 == 0 {
			for priority := range admitted {
				if a.Admit(now, priority) {
					admitted[priority]++
				}
			}
		}
	}
	total := admitted[0] + admitted[1] + admitted[2]
	if limit := (capacity - own) * seconds; total > limit+capacity/5 || total < limit*9/10 {
		t.Errorf("%d requests were admitted, there is room for %d", total, limit)
	}
	if admitted[0] < admitted[1] || admitted[1] < admitted[2] || admitted[0] < 2*admitted[2] {
		t.Errorf("admitted by priority: %v", admitted)
	}
	if unknown := NewAdmission(0); !unknown.Admit(at(0), 5) {
		t.Error("a VM of unknown capacity refused a request")
	}
}
