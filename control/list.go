package control

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/event"
	"github.com/currantferry/currantferry/member"
	"github.com/currantferry/currantferry/store"
)

// Limits of a list received from a peer.
const (
	maxListBytes = 1 << 20
	maxListed    = 20_000
)

// listLoop reads the platform's list. Every VM reads it until it has one;
// later only VMs that watch the store do, so that the number of calls does not
// grow with the fleet.
func (c *Control) listLoop() {
	var retry backoff
	failing := false
	for {
		if !c.needsList() {
			if !c.sleep(jitter(c.opts.ListInterval)) {
				return
			}
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, c.opts.StoreTimeout)
		list, err := c.opts.Lister.ListVMs(ctx)
		cancel()
		if c.ctx.Err() != nil {
			return
		}
		pause := jitter(c.opts.ListInterval)
		if err != nil {
			if !failing {
				event.MemberListStale.Log(c.opts.Log, "error", err)
			}
			pause = retry.next()
		} else {
			retry.reset()
			c.acceptList(list)
		}
		failing = err != nil
		if !c.sleep(pause) {
			return
		}
	}
}

func (c *Control) needsList() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listData == nil || c.cluster.ShouldWatch(time.Now())
}

// acceptList applies a list read from the platform and announces it if it
// changed.
func (c *Control) acceptList(list []store.VM) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b store.VM) int { return strings.Compare(a.ID, b.ID) })
	data, err := json.Marshal(list)
	if err != nil || len(data) > maxListBytes {
		event.MemberListStale.Log(c.opts.Log, "error", err, "bytes", len(data))
		return
	}
	hash := sha256.Sum256(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.setList(now, list)
	doc := c.cluster.Doc(member.DocList)
	if doc.Hash == hash && c.listData != nil {
		return
	}
	// The version exceeds that of a watcher whose clock is ahead.
	version := max(uint64(max(now.UnixMilli(), 1)), doc.Version+1)
	c.listData = data
	c.cluster.SetDoc(now, member.DocList, member.DocVersion{Version: version, Hash: hash})
}

// fetchList fetches a newer list from the peer that announced it.
func (c *Control) fetchList(e member.DocUpdate) {
	list, data, err := c.peerList(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetchingList = false
	if err != nil || e.Version <= c.cluster.Doc(member.DocList).Version {
		return // The next heartbeat of a peer announces the list again.
	}
	now := time.Now()
	c.listData = data
	c.cluster.SetDoc(now, member.DocList, e.DocVersion)
	c.setList(now, list)
}

func (c *Control) peerList(e member.DocUpdate) ([]store.VM, []byte, error) {
	ctx, cancel := context.WithTimeout(c.ctx, chunkTimeout)
	defer cancel()
	data, err := c.FetchChunk(ctx, e.Peer, e.Hash)
	if err != nil {
		return nil, nil, err
	}
	list, err := decodeList(data, e.Hash)
	return list, data, err
}

// decodeList verifies and decodes a list received from a peer.
func decodeList(data []byte, hash [32]byte) ([]store.VM, error) {
	if len(data) > maxListBytes || sha256.Sum256(data) != hash {
		return nil, errors.New("control: list of VMs with another hash or too long")
	}
	var list []store.VM
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "control: list of VMs")
	}
	if len(list) > maxListed {
		return nil, errors.Errorf("control: list names too many VMs: %d", len(list))
	}
	return list, nil
}

// setList applies a list to the membership. The lock is held.
func (c *Control) setList(now time.Time, list []store.VM) {
	listed := make([]member.Listed, 0, len(list))
	for _, v := range list {
		listed = append(listed, member.Listed{
			Info:    member.Info{ID: v.ID, DataCentre: v.DataCentre, Region: v.Region, Address: v.PeerAddress},
			Leaving: v.Leaving,
		})
		if v.ID != c.opts.Self.ID {
			c.startup.AddDataCentre(v.DataCentre)
		}
	}
	c.performEffects(c.cluster.SetList(now, listed))
}
