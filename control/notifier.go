package control

import "sync"

// notifier calls functions one at a time, in order and outside of the locks of
// those that add them.
type notifier struct {
	mu     sync.Mutex
	queue  []func()
	wake   chan struct{}
	closed bool
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

func (n *notifier) add(f func()) {
	n.mu.Lock()
	n.queue = append(n.queue, f)
	n.mu.Unlock()
	n.signal()
}

func (n *notifier) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// close ends run. Queued functions are dropped.
func (n *notifier) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.signal()
}

func (n *notifier) run() {
	for range n.wake {
		for {
			n.mu.Lock()
			if n.closed {
				n.mu.Unlock()
				return
			}
			if len(n.queue) == 0 {
				n.mu.Unlock()
				break
			}
			f := n.queue[0]
			n.queue = n.queue[1:]
			n.mu.Unlock()
			f()
		}
	}
}
