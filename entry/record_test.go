package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/internal/testkit"
	"github.com/currantferry/currantferry/store"
)

// modelRegistry is a store with records and leases in memory. After a restore it gives
// the same lease numbers out again. It loses answers and fails calls at random.
type modelRegistry struct {
	rng     *rand.Rand
	epoch   uint64
	lastID  int
	records map[string]Lease
	leases  map[store.LeaseID]string
	// grants holds the owner of each lease that was ever granted.
	grants   map[Lease]string
	renewals int
	// restoreBefore is called before each call.
	restoreBefore func()
}

var errLost = errors.New("lost")

func (m *modelRegistry) call(act func()) error {
	m.restoreBefore()
	fate := m.rng.IntN(10)
	if fate > 0 {
		act()
	}
	if fate < 2 {
		return errLost
	}
	return nil
}

func (m *modelRegistry) GrantLease(_ context.Context, name string, _ time.Duration) (lease Lease, err error) {
	err = m.call(func() {
		m.lastID++
		lease = Lease{store.LeaseID(strconv.Itoa(m.lastID)), m.epoch}
		m.leases[lease.ID], m.grants[lease] = name, name
	})
	return lease, err
}

func (m *modelRegistry) RenewLease(_ context.Context, id store.LeaseID) (epoch uint64, err error) {
	exists := false
	m.renewals++
	err = m.call(func() { _, exists = m.leases[id] })
	if err == nil && !exists {
		err = store.ErrLeaseLost
	}
	return m.epoch, err
}

func (m *modelRegistry) Put(_ context.Context, key string, _ []byte, id store.LeaseID) (epoch uint64, err error) {
	exists := false
	err = m.call(func() {
		if _, exists = m.leases[id]; exists {
			m.records[key] = Lease{id, m.epoch}
		}
	})
	if err == nil && !exists {
		err = store.ErrLeaseLost
	}
	return m.epoch, err
}

func (m *modelRegistry) Delete(_ context.Context, key string) error {
	return m.call(func() { delete(m.records, key) })
}

// restore drops all records and leases, and gives their numbers out again.
func (m *modelRegistry) restore() {
	m.epoch++
	m.lastID = m.rng.IntN(3)
	m.records, m.leases = make(map[string]Lease), make(map[store.LeaseID]string)
}

// A VM must not keep its record under a lease number that now belongs to another VM, nor
// remove the record of that VM when it stops. Once calls succeed, each record must exist
// under a lease of its own.
func TestLeaseNumbersThatAreGivenOutAgain(t *testing.T) {
	const defaultRounds = 500
	seed, rounds := testkit.Seed(t, 1), testkit.Rounds(t, defaultRounds)
	for round := range rounds {
		rng := rand.New(rand.NewPCG(seed, uint64(round)))
		m := &modelRegistry{rng: rng, epoch: 1, grants: make(map[Lease]string), restoreBefore: func() {}}
		m.restore()
		var records []*leasedRecord
		known := make([]uint64, 4)
		for k := range known {
			records = append(records, &leasedRecord{registry: m, key: "vm/" + strconv.Itoa(k), ttl: time.Second})
		}
		m.restoreBefore = func() {
			if rng.IntN(20) == 0 {
				m.restore()
			}
		}
		for range 100 {
			k := rng.IntN(len(records))
			if rng.IntN(2) == 0 {
				known[k] = m.epoch
			}
			_ = records[k].maintain(t.Context(), known[k], nil, rng.IntN(4) == 0)
		}
		m.restoreBefore = func() {}
		var owners []Lease
		for k, r := range records {
			// The feed of this VM may lag behind; the answers of its calls name the epoch.
			for err := errLost; err != nil; {
				err = r.maintain(t.Context(), known[k], nil, false)
			}
			lease, exists := m.records[r.key]
			if !exists || m.grants[lease] != r.key || r.lease != lease || slices.Contains(owners, lease) {
				t.Fatalf("round %d, seed %d: %s has lease %+v of %q, record %+v %t", round, seed, r.key, r.lease, m.grants[lease], lease, exists)
			}
			owners = append(owners, lease)
		}
		for err := errLost; err != nil; {
			err = records[0].remove(t.Context())
		}
		if len(m.records) != len(records)-1 {
			t.Fatalf("round %d, seed %d: %d records after one was removed", round, seed, len(m.records))
		}
	}
}

// A lease of an earlier epoch must not be renewed once its VM knows of the restore: the
// number may be that of another VM.
func TestLeaseOfEarlierEpochIsNotRenewed(t *testing.T) {
	m := &modelRegistry{rng: rand.New(rand.NewPCG(1, 1)), grants: make(map[Lease]string), restoreBefore: func() {}}
	m.restore()
	r := &leasedRecord{registry: m, key: "vm/1", ttl: time.Second}
	for err := errLost; err != nil; {
		err = r.maintain(t.Context(), 1, nil, false)
	}
	before := r.lease
	m.restore()
	other := Lease{before.ID, m.epoch}
	m.leases[other.ID], m.lastID, m.renewals = "vm/2", 100, 0
	for err := errLost; err != nil; {
		err = r.maintain(t.Context(), 2, nil, false)
	}
	if r.lease.ID == before.ID || r.lease.Epoch != 2 || m.renewals != 0 {
		t.Errorf("lease %+v after %+v, %d renewals", r.lease, before, m.renewals)
	}
}
