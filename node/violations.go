package node

import (
	"log/slog"
	"sync"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/invariant"
)

// violationLogs holds the logs of the nodes of this process. Violations are counted
// per process, so one hook serves all nodes. It is removed with the last node, in
// whatever order they end.
var violationLogs struct {
	sync.Mutex
	logs    map[*Node]*slog.Logger
	restore func()
}

// watchInvariants logs every violated invariant until unwatchInvariants is called.
func (n *Node) watchInvariants() {
	v := &violationLogs
	v.Lock()
	defer v.Unlock()
	if len(v.logs) == 0 {
		v.logs = make(map[*Node]*slog.Logger)
		v.restore = invariant.OnViolation(logViolation)
	}
	v.logs[n] = n.log
}

func (n *Node) unwatchInvariants() {
	v := &violationLogs
	v.Lock()
	defer v.Unlock()
	if _, ok := v.logs[n]; !ok {
		return
	}
	delete(v.logs, n)
	if len(v.logs) == 0 {
		v.restore()
	}
}

// logViolation logs a violation once for each node, because a check does not know
// which node of the process it concerns.
func logViolation(found invariant.Violation) {
	v := &violationLogs
	v.Lock()
	defer v.Unlock()
	for _, log := range v.logs {
		event.InvariantBroken.Log(log, "name", string(found.Name), "text", found.Text)
	}
}
