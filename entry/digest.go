package entry

import (
	"net/netip"
	"time"

	"github.com/currantferry/currantferry/event"
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

// deathsMost bounds the deaths of one digest: the requests that one VM has running
// at an instance when it dies.
const deathsMost = 32

// sendDigest tells other VMs of the region what instances reported to this one.
func (n *Node) sendDigest(now time.Time) {
	digest, deaths := n.selector.digest(now)
	peers := n.view.Load().ranked
	if len(digest.Reports)+len(digest.Shares)+len(digest.Replaced)+len(deaths) == 0 || len(peers) < 2 {
		return
	}
	deaths = deaths[:min(len(deaths), deathsMost)]
	data := encodeDigest(n.self.ID, &digest, deaths)
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
		from, digest, deaths, err := decodeDigest(buffer[:size])
		if err != nil {
			// Nothing of a broken datagram is believed; the next one follows.
			event.DigestFailed.Log(n.log, "error", err, "bytes", size)
			continue
		}
		n.selector.heard(time.Now(), from, digest, deaths)
	}
}
