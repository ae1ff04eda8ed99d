package kvhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/store"
)

// session is the request body that creates a session.
type session struct {
	Name      string
	TTL       string
	Behavior  string
	LockDelay string
}

// GrantLease implements store.Store.
func (c *Client) GrantLease(ctx context.Context, name string, ttl time.Duration) (store.LeaseID, error) {
	// No lock delay is needed, because every write checks the lock.
	body, err := json.Marshal(session{Name: name, TTL: ttl.String(), Behavior: "release", LockDelay: "0s"})
	if err != nil {
		return "", err
	}
	r, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/session/create", body: body})
	if err != nil {
		return "", err
	}
	if r.status != http.StatusOK {
		return "", r.unexpectedReply()
	}
	var created struct{ ID string }
	if err := json.Unmarshal(r.body, &created); err != nil {
		return "", errors.Wrap(err, "store: session")
	}
	return store.LeaseID(created.ID), nil
}

// RenewLease implements store.Store.
func (c *Client) RenewLease(ctx context.Context, id store.LeaseID) error {
	r, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/session/renew/" + string(id)})
	if err != nil {
		return err
	}
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return store.ErrLeaseLost
	default:
		return r.unexpectedReply()
	}
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, id store.LeaseID) error {
	r, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/session/destroy/" + string(id)})
	if err != nil {
		return err
	}
	return r.boolResult()
}

// Lock implements store.Store.
func (c *Client) Lock(ctx context.Context, key string, value []byte, id store.LeaseID) error {
	query := url.Values{"acquire": {string(id)}}
	r, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/kv/" + key, query: query, body: value})
	if err != nil {
		return err
	}
	return r.boolResult()
}

// catalogEntry is the JSON encoding of an entry of the platform's list of VMs.
type catalogEntry struct {
	ServiceID      string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    catalogMeta
}

type catalogMeta struct {
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// ListVMs implements store.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]store.VM, error) {
	r, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/catalog/service/" + c.options.ServiceName})
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, r.unexpectedReply()
	}
	var entries []catalogEntry
	if err := json.Unmarshal(r.body, &entries); err != nil {
		return nil, errors.Wrap(err, "store: list of VMs")
	}
	vms := make([]store.VM, len(entries))
	for i, e := range entries {
		vms[i] = store.VM{
			ID:          e.ServiceID,
			DataCentre:  e.ServiceMeta.DataCentre,
			Region:      e.ServiceMeta.Region,
			PeerAddress: net.JoinHostPort(e.ServiceAddress, strconv.Itoa(e.ServicePort)),
			Leaving:     e.ServiceMeta.State == "leaving",
		}
	}
	return vms, nil
}

// String identifies the service in logs.
func (c *Client) String() string { return fmt.Sprintf("store at %v", c.options.Addresses) }
