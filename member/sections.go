package member

import (
	"maps"
	"slices"
	"time"
)

type sectionKey struct {
	kind  uint8
	owner string
}

// SetSection publishes a section of this VM. It returns false for values above
// 512 bytes and for versions that are not newer.
func (c *Cluster) SetSection(now time.Time, kind uint8, version uint64, value []byte) bool {
	s := Section{Kind: kind, Owner: c.self.info.ID, Version: version, Value: value}
	return c.storeSection(now, &s)
}

// Section returns the newest known section of a VM.
func (c *Cluster) Section(kind uint8, owner string) (Section, bool) {
	s, ok := c.values[sectionKey{kind, owner}]
	return s, ok
}

// storeSection keeps a section if it is newer, and queues it.
func (c *Cluster) storeSection(now time.Time, s *Section) bool {
	k := sectionKey{s.Kind, s.Owner}
	old, ok := c.values[k]
	if len(s.Value) > maxSectionBytes || (ok && old.Version >= s.Version) || (!ok && len(c.values) >= maxSections) {
		return false
	}
	if owner := c.entries[s.Owner]; owner != nil && c.isReconciled(s.Kind) {
		before := owner.digest()
		if ok {
			owner.sectionsDigest ^= sectionDigest(&old)
		}
		owner.sectionsDigest ^= sectionDigest(s)
		c.updateViewHash(now, before, owner)
	}
	c.values[k] = *s
	if !c.opts.Sections[s.Kind].Collected {
		sends := sectionSends
		if c.opts.Sections[s.Kind].Urgent {
			// The queue orders items by the sends that are left.
			sends++
		}
		c.sectionQueue.push(k, sends)
	}
	return true
}

// SetCollector names the VM that receives collected sections. Empty means
// none.
func (c *Cluster) SetCollector(now time.Time, id string) {
	if c.collector != id {
		c.collector = id
		c.nextCollect = now.Add(c.randomDuration(minCollectInterval))
	}
}

// sendCollected sends the collected sections of this VM to the collector.
func (c *Cluster) sendCollected(now time.Time) {
	e := c.entries[c.collector]
	if e == nil || e == c.self || now.Before(c.nextCollect) || e.liveness != alive || e.awaitingReply {
		return
	}
	hasOwn := false
	for kind, k := range c.opts.Sections {
		if _, ok := c.values[sectionKey{kind, c.self.info.ID}]; ok && k.Collected {
			hasOwn = true
		}
	}
	if !hasOwn {
		return
	}
	interval := min(max(time.Duration(len(c.entries))*collectIntervalPerVM, minCollectInterval), maxCollectInterval)
	c.nextCollect = now.Add(interval*3/4 + c.randomDuration(interval/2))
	c.send(now, e, nil)
}

// addCollected adds the collected sections of this VM to a message.
func (c *Cluster) addCollected(m *Message) {
	for _, kind := range slices.Sorted(maps.Keys(c.opts.Sections)) {
		if s, ok := c.values[sectionKey{kind, c.self.info.ID}]; ok && c.opts.Sections[kind].Collected {
			m.Sections = append(m.Sections, s)
		}
	}
}

// isReconciled reports whether sections of a kind are part of the view
// comparison.
func (c *Cluster) isReconciled(kind uint8) bool {
	k := c.opts.Sections[kind]
	return k.Reconciled && !k.SameDataCentre && !k.SameRegion
}

// sectionBytes is an upper bound of the encoded size.
func sectionBytes(s *Section) int { return 16 + len(s.Owner) + len(s.Value) }

func sectionDigest(s *Section) uint64 {
	return mix(hashOf("section", s.Owner) ^ mix(s.Version<<8|uint64(s.Kind)))
}

func (c *Cluster) applySection(now time.Time, s *Section) {
	owner := c.entries[s.Owner]
	if owner == nil || owner == c.self || !c.isInScope(s.Kind, owner, c.self) {
		return
	}
	if c.storeSection(now, s) {
		c.effects = append(c.effects, SectionUpdate{Section: *s})
	}
}

// isInScope reports whether a VM receives the owner's sections of a kind.
func (c *Cluster) isInScope(kind uint8, owner, to *entry) bool {
	k, ok := c.opts.Sections[kind]
	switch {
	case !ok:
		return false
	case k.SameDataCentre:
		return owner.info.DataCentre == to.info.DataCentre
	case k.SameRegion:
		return owner.info.Region == to.info.Region
	}
	return true
}

// addSections fills the rest of a message with sections, within the allowance.
func (c *Cluster) addSections(m *Message, to *entry, bytesLeft int) {
	if to.info.ID == c.collector {
		c.addCollected(m)
	}
	c.sectionQueue.take(func(k sectionKey) (sent, stop bool) {
		owner := c.entries[k.owner]
		if owner == nil || owner == to || !c.isInScope(k.kind, owner, to) {
			return false, false
		}
		s := c.values[k]
		n := sectionBytes(&s)
		if n > bytesLeft || !c.sectionBudget.spend(float64(n)) {
			return false, true
		}
		bytesLeft -= n
		m.Sections = append(m.Sections, s)
		return true, false
	})
}

// reconciledSections returns the reconciled sections of a VM, ordered by kind.
func (c *Cluster) reconciledSections(e *entry) []Section {
	var out []Section
	if e.sectionsDigest == 0 {
		return nil
	}
	for kind := range c.opts.Sections {
		if s, ok := c.values[sectionKey{kind, e.info.ID}]; ok && c.isReconciled(kind) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Section) int { return int(a.Kind) - int(b.Kind) })
	return out
}

// dropSections removes the sections of a VM that is gone. The digest of such a
// VM is zero, so the view hash does not change.
func (c *Cluster) dropSections(e *entry) {
	e.sectionsDigest = 0
	for k := range c.values {
		if k.owner == e.info.ID {
			delete(c.values, k)
			c.sectionQueue.remove(k)
		}
	}
}
