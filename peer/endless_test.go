package peer

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/testkit"
)

// endlessMessages are bytes without end of a peer, as beginning and repeated part: bytes that
// are no frames, and frames of a message that never ends. A frame has a byte for its kind, the
// number of its stream, that of its message, and its length.
var endlessMessages = map[string][2]string{
	"no frames":        {"", "z"},
	"zeros":            {"", "\x00"},
	"a long number":    {"\x04", "\xff"},
	"a long frame":     {"\x04\x01\x02\xff\xff\xff\xff\x0f", "x"},
	"frames":           {"", "\x04\x01\x02\x40" + strings.Repeat("x", 0x40)},
	"empty frames":     {"", "\x04\x01\x02\x00"},
	"control frames":   {"", "\x84\x01\x02\x40" + strings.Repeat("x", 0x40)},
	"invocation":       {"", "\x02\x01\x01\x40" + strings.Repeat("x", 0x40)},
	"whole messages":   {"", "\x05\x01\x02\x40" + strings.Repeat("x", 0x40)},
	"ended invocation": {"\x03\x01\x01\x04/abc", "\x05\x01\x02\x40" + strings.Repeat("x", 0x40)},
	"answer head":      {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
}

// maxPeerGrowth bounds what one connection may hold: some copies of the largest message.
const maxPeerGrowth = 8 << 20

// A peer that answers a call without end must not fill the memory of the VM, and the call must
// end by its deadline.
func TestEndlessAnswersOfPeer(t *testing.T) {
	const timeout = time.Second
	testkit.CheckEndless(t, endlessMessages, maxPeerGrowth, timeout, func(ctx context.Context, address string) error {
		p := newPool(t, PoolOptions{CallTimeout: timeout})
		_, err := p.Chunk(ctx, address, [32]byte{})
		return err
	})
}

// Processes that send without end to the port for other VMs must not fill the memory of the VM, and
// a call of another VM must be served beside them.
func TestEndlessBytesToPeer(t *testing.T) {
	const connections, maxBytes = 8, 32 << 20
	for name, form := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			s := serve(t, "127.0.0.1:0", echoHandler{}, ServerOptions{})
			block := []byte(strings.Repeat(form[1], max(1, 16<<10/len(form[1]))))
			growth := testkit.WatchHeap()
			var group sync.WaitGroup
			for range connections {
				c, err := net.Dial("tcp", s.Address())
				if err != nil {
					t.Fatal(err)
				}
				group.Go(func() {
					defer c.Close()
					_ = c.SetDeadline(time.Now().Add(2 * time.Second))
					n, err := c.Write([]byte(form[0]))
					for sent := n; err == nil && sent < maxBytes; sent += n {
						n, err = c.Write(block)
					}
				})
			}
			p := newPool(t, PoolOptions{CallTimeout: 10 * time.Second})
			m := sampleMessage()
			if _, err := p.Exchange(t.Context(), s.Address(), &m); err != nil {
				t.Errorf("a call beside: %v", err)
			}
			group.Wait()
			peak := growth()
			t.Logf("heap +%d KB", peak>>10)
			if peak > connections*maxPeerGrowth {
				t.Errorf("the heap grew by %d KB", peak>>10)
			}
		})
	}
}
