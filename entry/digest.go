package entry

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
)

const (
	// digestInterval is how often a VM tells the others of its region the loads
	// that it heard of: a fraction of the time for which neighbours slow an
	// instance down.
	digestInterval = 200 * time.Millisecond
	// digestPeers bounds the VMs that are told each time; others take their turn.
	digestPeers = 24
	// digestBytes bounds a datagram.
	digestBytes = 8 << 10
)

// digestEntry is a placement.Report on its way: instance, running, waiting, slots,
// work in percent, age in milliseconds.
type digestEntry struct {
	Instance string `json:"i"`
	Load     [4]int `json:"l"`
	AgeMS    int64  `json:"a"`
}

// digestMessage is a placement.Digest on its way.
type digestMessage struct {
	VM      string             `json:"v"`
	Shares  map[string]float64 `json:"s,omitempty"`
	Reports []digestEntry      `json:"r,omitempty"`
	Deaths  []deathEntry       `json:"d,omitempty"`
}

// deathEntry is a crashguard.DeathNote on its way.
type deathEntry struct {
	Request  []byte `json:"f"`
	Instance string `json:"i"`
	AgeMS    int64  `json:"a"`
}

// deathsMost bounds the deaths of one digest: the requests that one VM has running
// at an instance when it dies.
const deathsMost = 32

// sendDigest tells other VMs of the region what instances reported to this one.
func (n *Node) sendDigest(now time.Time) {
	digest, deaths := n.selector.digest(now)
	peers := n.view.Load().ranked
	if len(digest.Reports)+len(digest.Shares)+len(deaths) == 0 || len(peers) < 2 {
		return
	}
	message := digestMessage{VM: n.self.ID, Shares: digest.Shares}
	for _, r := range digest.Reports {
		message.Reports = append(message.Reports, digestEntry{r.Instance, [4]int{r.Load.Running, r.Load.Waiting, r.Load.Slots, r.Load.WorkPercent}, r.Age.Milliseconds()})
	}
	for _, d := range deaths[:min(len(deaths), deathsMost)] {
		message.Deaths = append(message.Deaths, deathEntry{d.Request[:], d.Instance, d.Age.Milliseconds()})
		event.CrashNoted.Log(n.log, "fingerprint", hex.EncodeToString(d.Request[:8]), "id", d.Instance, "age_ms", d.Age.Milliseconds())
	}
	data, err := json.Marshal(&message)
	if err != nil {
		event.DigestFailed.Log(n.log, "error", err)
		return
	}
	n.digestTurn++
	for k := range min(len(peers), digestPeers) {
		peer := &peers[(k+n.digestTurn*digestPeers)%len(peers)]
		address, err := netip.ParseAddrPort(peer.Relay)
		if peer.ID == n.self.ID || err != nil {
			continue
		}
		// A digest that is lost is followed by the next one.
		_, _ = n.digests.WriteToUDPAddrPort(data, address)
	}
}

// receiveDigests takes the digests of other VMs until the node is closed.
func (n *Node) receiveDigests() {
	buffer := make([]byte, digestBytes)
	for {
		size, _, err := n.digests.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if n.ctx.Err() == nil {
				event.DigestFailed.Log(n.log, "error", err)
				time.Sleep(digestInterval)
				continue
			}
			return
		}
		from, digest, deaths := decodeDigest(buffer[:size])
		n.selector.heard(time.Now(), from, digest, deaths)
	}
}

// decodeDigest returns the digest of a datagram and its sender; a broken one says
// nothing.
func decodeDigest(data []byte) (from string, d *placement.Digest, deaths []crashguard.DeathNote) {
	var m digestMessage
	d = new(placement.Digest)
	if json.Unmarshal(data, &m) != nil {
		return "", d, nil
	}
	d.Shares = m.Shares
	for _, e := range m.Reports {
		d.Reports = append(d.Reports, placement.Report{
			Instance: e.Instance, Age: time.Duration(e.AgeMS) * time.Millisecond,
			Load: placement.Load{Running: e.Load[0], Waiting: e.Load[1], Slots: e.Load[2], WorkPercent: e.Load[3]},
		})
	}
	for _, e := range m.Deaths {
		note := crashguard.DeathNote{Instance: e.Instance, Age: time.Duration(e.AgeMS) * time.Millisecond}
		if copy(note.Request[:], e.Request) == len(note.Request) {
			deaths = append(deaths, note)
		}
	}
	return m.VM, d, deaths
}
