package member

type sectionKey struct {
	kind  uint8
	owner string
}

// SetSection publishes a section of this VM. Values above 512 bytes are refused.
func (c *Cluster) SetSection(kind uint8, version uint64, value []byte) bool {
	s := Section{Kind: kind, Owner: c.self.info.ID, Version: version, Value: value}
	return c.store(&s)
}

// Section returns the newest known section of a VM.
func (c *Cluster) Section(kind uint8, owner string) (Section, bool) {
	s, ok := c.values[sectionKey{kind, owner}]
	return s, ok
}

// store keeps a section if it is newer, and queues it.
func (c *Cluster) store(s *Section) bool {
	k := sectionKey{s.Kind, s.Owner}
	old, ok := c.values[k]
	if len(s.Value) > maxSectionBytes || (ok && old.Version >= s.Version) || (!ok && len(c.values) >= maxSections) {
		return false
	}
	c.values[k] = *s
	c.sections.push(k, sectionSends)
	return true
}

func (c *Cluster) applySection(s *Section) {
	owner := c.entries[s.Owner]
	if owner == nil || owner == c.self || !c.inScope(s.Kind, owner, c.self) {
		return
	}
	if c.store(s) {
		c.out = append(c.out, SectionNews{Section: *s})
	}
}

// inScope tells whether sections of a kind are spread from owner to a VM.
func (c *Cluster) inScope(kind uint8, owner, to *entry) bool {
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
func (c *Cluster) addSections(m *Message, to *entry, left int) {
	c.sections.take(func(k sectionKey) (sent, stop bool) {
		owner := c.entries[k.owner]
		if owner == nil || owner == to || !c.inScope(k.kind, owner, to) {
			return false, false
		}
		s := c.values[k]
		n := 16 + len(s.Owner) + len(s.Value)
		if n > left || !c.allow.spend(float64(n)) {
			return false, true
		}
		left -= n
		m.Sections = append(m.Sections, s)
		return true, false
	})
}

// dropSections forgets the sections of a VM.
func (c *Cluster) dropSections(owner string) {
	for k := range c.values {
		if k.owner == owner {
			delete(c.values, k)
			c.sections.remove(k)
		}
	}
}
