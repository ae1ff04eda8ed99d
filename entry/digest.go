package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantferry/currantferry/crashguard"
	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/placement"
	"github.com/currantferry/currantferry/rendezvous"
	"github.com/currantferry/currantferry/roster"
)

const (
	// digestInterval is how often a VM sends the instance loads that it received to the
	// other VMs of its region. It is a fraction of the time for which noisy neighbours
	// slow an instance down.
	digestInterval = 200 * time.Millisecond
	// maxDigestPeers bounds the receivers of one digest; the other peers get the next ones.
	maxDigestPeers = 24
	// maxDigestBytes bounds the size of a datagram.
	maxDigestBytes = 8 << 10
)

const (
	// maxCrashReports bounds the crash reports in one digest: the number of requests that
	// one VM has running on an instance when it crashes.
	maxCrashReports = 32
	// crashReportRepeats is how often each VM is sent a crash report, since datagrams are
	// lost now and then.
	crashReportRepeats = 2
	// maxResponsibleVMs is the number of VMs of another region that receive a crash report
	// and pass it on to their region. There are two because one of them may just have
	// crashed.
	maxResponsibleVMs = 2
)

// sendDigest sends the loads that instances reported to this VM to other VMs of the
// region, and to all regions the requests that crashed instances.
func (n *Node) sendDigest(now time.Time) {
	members, peers := n.sharers.members(), n.sharers.peers()
	if len(members) < 2 && len(peers) == 0 {
		// Crash reports stay queued until another VM is known.
		return
	}
	rounds := (len(peers) + maxDigestPeers) / maxDigestPeers
	digest, crashes := n.selector.buildDigest(now, max(1, rounds))
	isIsolated, isReportDue := n.reach.IsReportDue(now)
	for address, reports := range remoteCrashReports(members, n.self.Region, crashes) {
		n.sendDatagram(encodeDigest(sender{id: n.self.ID, remote: true, isolated: isIsolated}, new(placement.Digest), reports), address)
	}
	signal, isSignalDue := n.sharers.signal()
	if !isReportDue && !isSignalDue && len(digest.Reports)+len(digest.Shares)+len(digest.Replaced)+len(digest.Leaving)+len(digest.Limits)+len(crashes) == 0 || len(peers) == 0 {
		return
	}
	data := encodeDigest(sender{id: n.self.ID, isolated: isIsolated, signal: signal}, &digest, crashes)
	n.digestRound++
	for k := range min(len(peers), maxDigestPeers) {
		n.sendDatagram(data, peers[(k+n.digestRound*maxDigestPeers)%len(peers)].Relay)
	}
}

// sendDatagram sends a datagram to another VM. Lost datagrams need no resend: later
// digests repeat their content.
func (n *Node) sendDatagram(data []byte, relay string) {
	if address, err := netip.ParseAddrPort(relay); err == nil {
		_, _ = n.digests.WriteToUDPAddrPort(data, address)
	}
}

// remoteCrashReports returns the crash reports for VMs of other regions, by address. All
// VMs choose the same receivers for a request.
func remoteCrashReports(members []roster.Member, region string, reports []crashguard.LedgerReport) map[string][]crashguard.LedgerReport {
	out := make(map[string][]crashguard.LedgerReport)
	if !slices.ContainsFunc(reports, func(r crashguard.LedgerReport) bool { return r.Local }) {
		return out
	}
	regions := make(map[string][]roster.Member)
	for _, m := range members {
		if m.Region != region {
			regions[m.Region] = append(regions[m.Region], m)
		}
	}
	for _, report := range reports {
		if !report.Local {
			continue
		}
		for _, vms := range regions {
			for _, vm := range responsibleVMs(roster.Candidates(vms), report.Request) {
				out[vm.Relay] = append(out[vm.Relay], report)
			}
		}
	}
	return out
}

// responsibleVMs returns the VMs that rank first for a request by rendezvous hashing.
func responsibleVMs(vms []roster.Member, f crashguard.Fingerprint) []roster.Member {
	seed := xxhash.Sum64(f[:])
	first := make([]roster.Member, 0, maxResponsibleVMs+1)
	scores := make([]float64, 0, maxResponsibleVMs+1)
	for i := range vms {
		score := rendezvous.Score(rendezvous.Mix(seed^xxhash.Sum64String(vms[i].ID)), 1)
		at := len(first)
		for at > 0 && scores[at-1] < score {
			at--
		}
		first, scores = slices.Insert(first, at, vms[i]), slices.Insert(scores, at, score)
		first, scores = first[:min(len(first), maxResponsibleVMs)], scores[:min(len(scores), maxResponsibleVMs)]
	}
	return first
}

// malformedInterval is the minimum time between two events about malformed datagrams, which
// anybody can send in large numbers.
const malformedInterval = 10 * time.Second

// receiveDigests processes the digests of other VMs until the node is closed.
func (n *Node) receiveDigests() {
	buffer := make([]byte, maxDigestBytes)
	malformed, malformedLogged := 0, time.Time{}
	for {
		size, sender, err := n.digests.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if n.ctx.Err() == nil {
				event.DigestFailed.Log(n.log, "error", err)
				time.Sleep(digestInterval)
				continue
			}
			return
		}
		if size > 0 && buffer[0] == quotaFormat {
			n.receiveQuota(buffer[:size], sender)
			continue
		}
		if size > 0 && buffer[0] == teamCapFormat {
			n.receiveTeamCap(buffer[:size], sender)
			continue
		}
		if size > 0 && buffer[0] == coldNoticeFormat {
			n.receiveColdNotice(buffer[:size])
			continue
		}
		if size > 0 && buffer[0] == routesNoticeFormat {
			n.receiveRoutesNotice(buffer[:size], sender)
			continue
		}
		from, digest, crashes, err := decodeDigest(buffer[:size])
		if err != nil {
			// A malformed datagram is dropped as a whole; the next digest follows soon.
			malformed++
			if now := time.Now(); now.Sub(malformedLogged) >= malformedInterval {
				event.DigestFailed.Log(n.log, "error", err, "bytes", size, "malformed", malformed)
				malformedLogged, malformed = now, 0
			}
			continue
		}
		n.reach.RecordPeer(from.id, from.isolated)
		if !from.remote {
			n.sharers.recordHeard(from.id, sender.String(), from.signal)
		}
		n.selector.receiveDigest(time.Now(), from, digest, crashes)
	}
}
