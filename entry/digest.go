package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/rendezvous"
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

const (
	// notesMost bounds the notes on requests in one digest: the requests that one VM
	// has running at an instance when it dies.
	notesMost = 32
	// noteTurns is how often each VM is told a note: datagrams get lost now and then.
	noteTurns = 2
	// responsibleMost is the number of VMs of another region that are told a note, and
	// tell their region. One of them may just have died.
	responsibleMost = 2
)

// sendDigest tells other VMs of the region what instances reported to this one, and
// all regions which requests instances died of.
func (n *Node) sendDigest(now time.Time) {
	v := n.view.Load()
	if len(v.vms) < 2 {
		// Notes wait until another VM is known.
		return
	}
	turns := (len(v.ranked) + digestPeers - 1) / digestPeers
	digest, notes := n.selector.digest(now, noteTurns*max(1, turns))
	for address, some := range farNotes(v, notes) {
		n.sendDatagram(encodeDigest(sender{n.self.ID, true}, new(placement.Digest), some), address)
	}
	peers := v.ranked
	if len(digest.Reports)+len(digest.Shares)+len(digest.Replaced)+len(digest.Leaving)+len(notes) == 0 || len(peers) < 2 {
		return
	}
	data := encodeDigest(sender{n.self.ID, false}, &digest, notes)
	n.digestTurn++
	for k := range min(len(peers), digestPeers) {
		peer := &peers[(k+n.digestTurn*digestPeers)%len(peers)]
		if peer.ID != n.self.ID {
			n.sendDatagram(data, peer.Relay)
		}
	}
}

// sendDatagram sends to another VM. What is lost is told again.
func (n *Node) sendDatagram(data []byte, relay string) {
	if address, err := netip.ParseAddrPort(relay); err == nil {
		_, _ = n.digests.WriteToUDPAddrPort(data, address)
	}
}

// farNotes returns the notes that VMs of other regions are told, by their address.
// All VMs tell the same ones of a request.
func farNotes(v *view, notes []crashguard.LedgerNote) map[string][]crashguard.LedgerNote {
	out := make(map[string][]crashguard.LedgerNote)
	for _, n := range notes {
		if !n.Local {
			continue
		}
		for _, vms := range v.others {
			for _, vm := range responsible(vms, n.Request) {
				out[vm.Relay] = append(out[vm.Relay], n)
			}
		}
	}
	return out
}

// responsible returns the VMs that come first for a request by rendezvous hashing.
func responsible(vms []inventory.VM, f crashguard.Fingerprint) []inventory.VM {
	seed := xxhash.Sum64(f[:])
	first := make([]inventory.VM, 0, responsibleMost+1)
	scores := make([]float64, 0, responsibleMost+1)
	for i := range vms {
		score := rendezvous.Score(rendezvous.Mix(seed^xxhash.Sum64String(vms[i].ID)), 1)
		at := len(first)
		for at > 0 && scores[at-1] < score {
			at--
		}
		first, scores = slices.Insert(first, at, vms[i]), slices.Insert(scores, at, score)
		first, scores = first[:min(len(first), responsibleMost)], scores[:min(len(scores), responsibleMost)]
	}
	return first
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
		from, digest, notes, err := decodeDigest(buffer[:size])
		if err != nil {
			// Nothing of a broken datagram is believed; the next one follows.
			event.DigestFailed.Log(n.log, "error", err, "bytes", size)
			continue
		}
		n.selector.heard(time.Now(), from, digest, notes)
	}
}
