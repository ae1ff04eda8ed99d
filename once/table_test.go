package once

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"
)

// The index must not lose or confuse claims when entries move on insertion,
// removal and expiry.
func TestTableMatchesMap(t *testing.T) {
	rnd := rand.New(rand.NewPCG(envUint(t, "CURRANTFERRY_SEED", 1), 2))
	tab, want := newTable(newNameTable()), make(map[Key]Claim)
	for i := 0; i < 200_000; i++ {
		var k Key
		// Few home slots make long probe sequences.
		binary.LittleEndian.PutUint64(k[8:], rnd.Uint64N(64)*37)
		binary.BigEndian.PutUint64(k[:8], rnd.Uint64N(40))
		switch rnd.IntN(5) {
		case 0, 1:
			c := Claim{Key: k, Seq: uint64(i), Holder: string(rune('a' + i%3)), State: StateGranted, Changed: uint32(i / 100)}
			tab.put(&c)
			want[k] = c
		case 2, 3:
			tab.remove(k)
			delete(want, k)
		default:
			c, ok := tab.Get(k)
			if w, known := want[k]; ok != known || c != w {
				t.Fatalf("step %d: got %+v %t, want %+v %t", i, c, ok, w, known)
			}
		}
		if i%1000 == 0 {
			now := uint32(i / 100)
			tab.expire(now, 10, 2*tab.Len()) // entries that move are examined twice
			for k, c := range want {
				if isExpired(c.Changed, now, 10) {
					delete(want, k)
				}
			}
		}
		if tab.Len() != len(want) {
			t.Fatalf("step %d: %d claims, want %d", i, tab.Len(), len(want))
		}
	}
}

// A record must be read from the store as it was written.
func TestRecordRoundTrip(t *testing.T) {
	r := Record{
		Partition: 3, Epoch: 9, View: "vm/1/2", Owner: Member{"vm", 1},
		Witnesses: []Member{{"b", 2}}, LostUntil: time.Unix(1e9, 0).UTC(),
	}
	got, err := ParseRecord(r.Marshal())
	if err != nil || string(got.Marshal()) != string(r.Marshal()) || !got.LostUntil.Equal(r.LostUntil) {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := ParseRecord([]byte(`{"partition":1}`)); err == nil {
		t.Fatal("a record without epoch was accepted")
	}
}
