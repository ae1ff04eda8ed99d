package e2e

import (
	"net"
	"regexp"
	"time"
)

// idPattern matches the ID of a VM. The relay in front of a VM's peer listener serves all
// peers of the VM. To cut off only some of them, it reads the first bytes of a connection:
// heartbeats and at-most-once messages begin with the ID of the sender.
var idPattern = regexp.MustCompile(`vm-[0-9]+`)

// Bounds of the bytes and time that are read to identify a connection. A VM that sends
// nothing within this time, or another message first, is refused and reconnects.
const (
	maxIdentifyBytes = 64 << 10
	identifyTimeout  = 2 * time.Second
)

// identify returns the VM that opened the connection, or nil, and the bytes that it read
// from it.
func (c *cluster) identify(in net.Conn) (*vm, []byte) {
	_ = in.SetReadDeadline(time.Now().Add(identifyTimeout))
	defer func() { _ = in.SetReadDeadline(time.Time{}) }()
	var sent []byte
	buffer := make([]byte, 4<<10)
	for len(sent) < maxIdentifyBytes {
		n, err := in.Read(buffer)
		sent = append(sent, buffer[:n]...)
		if id := idPattern.Find(sent); id != nil {
			for _, v := range c.vms {
				if v.id == string(id) {
					return v, sent
				}
			}
			return nil, sent
		}
		if err != nil {
			break
		}
	}
	return nil, sent
}

// cutRegions cuts or restores the connections between VMs of different regions.
func (c *cluster) cutRegions(cut bool) {
	for _, v := range c.vms {
		var admit func(net.Conn) ([]byte, bool)
		if cut {
			admit = func(in net.Conn) ([]byte, bool) {
				source, sent := c.identify(in)
				return sent, source != nil && source.place.region == v.place.region
			}
		}
		v.peer.SetAdmit(admit)
	}
}
