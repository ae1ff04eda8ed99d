package once

// writeAgain writes the record in force to a store that has an earlier one, as after a
// restore from a copy. If the read was only stale, the index prevents the write.
func (m *Machine) writeAgain(p *partition, index uint64) {
	m.notify(EventRecordWrittenAgain, p, p.rec.Epoch, "", "")
	m.eff.Swaps = append(m.eff.Swaps, Swap{Record: p.rec, Index: index})
}

// beginConfirm asks the other VMs whether they know a newer record than the base.
func (m *Machine) beginConfirm(p *partition, ch *viewChange) {
	ch.step, ch.progress, ch.sent = stepConfirming, m.now, m.now
	ch.unconfirmed = make(map[string]bool)
	for _, id := range m.dir.order {
		if id != m.cfg.Self.VM && m.dir.vms[id].State != VMGone {
			ch.unconfirmed[id] = true
		}
	}
	ch.numAsked = len(ch.unconfirmed)
	m.sendConfirm(p, ch)
	m.checkConfirmed(p, ch)
}

// sendConfirm sends the base to the VMs that have not answered. A VM that knows a newer
// record answers with it.
func (m *Machine) sendConfirm(p *partition, ch *viewChange) {
	var base *Record
	if ch.base.Epoch > 0 {
		r := ch.base
		base = &r
	}
	for _, id := range m.dir.order {
		if ch.unconfirmed[id] {
			m.send(id, Message{Kind: KindView, Partition: p.n, Epoch: ch.base.Epoch, View: ch.base.View, Record: base})
		}
	}
}

// handleViewReply handles the answer of a VM that knows no newer record.
func (m *Machine) handleViewReply(p *partition, from string, msg *Message) {
	ch := p.change
	if ch == nil || ch.step != stepConfirming || msg.Epoch != ch.base.Epoch || msg.View != ch.base.View {
		return
	}
	delete(ch.unconfirmed, from)
	m.checkConfirmed(p, ch)
}

// checkConfirmed goes on once all VMs that are not known to be unreachable have answered.
func (m *Machine) checkConfirmed(p *partition, ch *viewChange) {
	for id := range ch.unconfirmed {
		if m.isEligible(m.dir.vms[id]) {
			return
		}
	}
	m.endConfirm(p, ch)
}

// endConfirm goes on with the change, unless most VMs did not answer: this VM may be cut
// off from a newer view, and the others can change the view themselves.
func (m *Machine) endConfirm(p *partition, ch *viewChange) {
	if 2*len(ch.unconfirmed) > ch.numAsked {
		m.failChange(p, "most VMs do not answer")
		return
	}
	if ch.isInstalled {
		m.beginSwap(ch)
	} else {
		m.beginSeal(p, ch)
	}
}
