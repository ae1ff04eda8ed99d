package member

import "time"

// compareViews counts exchanges in which the views differed. When the other
// side sent its partial hashes, it requests the buckets that differ.
func (c *Cluster) compareViews(now time.Time, e *entry, m *Message) {
	if m.ViewHash == c.viewHash {
		c.viewMismatches = 0
		e.resyncMask = 0
		return
	}
	c.viewMismatches++
	if len(m.Buckets) != numBuckets || now.Before(c.nextResync) {
		return
	}
	own := c.bucketHashes()
	var differing uint32
	for i, h := range m.Buckets {
		if h != own[i] {
			differing |= 1 << i
		}
	}
	if differing == 0 {
		return
	}
	c.nextResync = now.Add(resyncInterval)
	e.resyncMask = differing
	e.nextProbe = now
}

func bucketOf(key uint32) uint32 { return key % numBuckets }

func (c *Cluster) bucketHashes() []uint32 {
	out := make([]uint32, numBuckets)
	for _, e := range c.entries {
		d := e.digest()
		out[bucketOf(e.key)] ^= uint32(d) ^ uint32(d>>32)
	}
	return out
}

// addBuckets adds this VM's partial hashes when the views kept differing, or
// at the first contact with a VM, which may have just started.
func (c *Cluster) addBuckets(now time.Time, m *Message, firstContact bool) {
	if c.viewMismatches == 0 || now.Before(c.nextBuckets) {
		return
	}
	if !firstContact && (c.viewMismatches < 2 || now.Sub(c.viewChangedAt) < minViewAge) {
		return
	}
	c.nextBuckets = now.Add(bucketsInterval)
	m.Buckets = c.bucketHashes()
}

// addResync adds the members of the requested buckets, up to the maximum size
// of a message. Those that do not fit still differ and are requested again.
func (c *Cluster) addResync(now time.Time, m *Message, mask uint32, to *entry) {
	if mask == 0 {
		return
	}
	bytesLeft := c.opts.MaxMessageBytes
	sent := make(map[uint32]bool)
	for i := range m.Updates {
		bytesLeft -= updateBytes(&m.Updates[i])
		sent[m.Updates[i].Key] = true
	}
	for b := uint32(0); b < numBuckets; b++ {
		if mask&(1<<b) == 0 {
			continue
		}
		for _, e := range c.sorted() {
			if bucketOf(e.key) != b || !e.isKnown() || e == to || sent[e.key] {
				continue
			}
			u := c.update(now, e, true)
			if bytesLeft -= updateBytes(&u); bytesLeft < 0 {
				return
			}
			m.Updates = append(m.Updates, u)
			for _, section := range c.reconciledSections(e) {
				if bytesLeft -= sectionBytes(&section); bytesLeft < 0 {
					return
				}
				m.Sections = append(m.Sections, section)
			}
		}
	}
}
