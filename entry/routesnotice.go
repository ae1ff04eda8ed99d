package entry

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/history"
	"github.com/currantferry/currantferry/inventory"
	"github.com/currantferry/currantferry/proxy"
)

const (
	// routesNoticeFormat is the first byte of a notice about the routes in force.
	routesNoticeFormat = 0x83
	// routesNoticeInterval is how often a notice is repeated, since datagrams are lost when a link
	// is full.
	routesNoticeInterval = time.Second
	// repeatedNotices is the number of VMs of the region that get a repeated notice.
	repeatedNotices = 8
)

// sendRoutesNotice states to some VMs of the region, drawn at random, and to one of each other region,
// which routes are in force here. Those that lack them need not wait for their sources to notice.
func (n *Node) sendRoutesNotice(receivers int) {
	s := n.currency.current()
	if s.Version == 0 {
		return
	}
	v := n.view.Load()
	data := encodeRoutesNotice(n.self.ID, s)
	for _, i := range rand.Perm(len(v.ranked)) {
		if vm := &v.ranked[i]; vm.ID != n.self.ID && receivers > 0 {
			n.sendDatagram(data, vm.Relay)
			receivers--
		}
	}
	for i := range v.previous {
		// A VM that is behind may not have renewed its record either.
		n.sendDatagram(data, v.previous[i].Relay)
	}
	for _, vms := range v.remoteVMs {
		n.sendDatagram(data, vms[rand.IntN(len(vms))].Relay)
	}
}

// encodeRoutesNotice encodes the format, the sender and the state of its routes.
func encodeRoutesNotice(id string, s proxy.RoutesState) []byte {
	b := binary.AppendUvarint([]byte{routesNoticeFormat}, uint64(len(id)))
	b = append(b, id...)
	for _, v := range []uint64{s.Position.Epoch, s.Position.Revision, s.Version} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func decodeRoutesNotice(data []byte) (id string, s proxy.RoutesState, err error) {
	r := &digestReader{rest: data[1:]}
	id = r.text()
	numbers := [3]uint64{}
	for k := range numbers {
		v, size := binary.Uvarint(r.rest)
		if r.err != nil || size <= 0 {
			r.fail()
			return "", s, r.err
		}
		numbers[k], r.rest = v, r.rest[size:]
	}
	if len(r.rest) > 0 {
		return "", s, errors.Errorf("notice has %d trailing bytes", len(r.rest))
	}
	return id, proxy.RoutesState{Position: history.Position{Epoch: numbers[0], Revision: numbers[1]}, Version: numbers[2]}, nil
}

// receiveRoutesNotice processes the notice of a VM. Only the address in the VM's record counts:
// a VM that is behind refuses requests.
func (n *Node) receiveRoutesNotice(data []byte, sender netip.AddrPort) {
	id, s, err := decodeRoutesNotice(data)
	if err != nil {
		event.DigestFailed.Log(n.log, "error", err, "bytes", len(data))
		return
	}
	v := n.view.Load()
	i := slices.IndexFunc(v.vms, func(vm inventory.VM) bool { return vm.ID == id })
	if i < 0 || v.vms[i].Relay != sender.String() {
		return
	}
	n.currency.observe(s, v.vms[i].Relay)
}

// catchUp requests newer records from the VM at an address, or from the usual sources.
func (n *Node) catchUp(relay string) {
	if relay == "" {
		n.follower.Refresh()
		return
	}
	n.follower.CatchUp(relay)
}
