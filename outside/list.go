package outside

import (
	"context"
	"net/http"

	"dandelionrail.org/rail"
)

// States of a listed instance; any state other than leaving counts as live.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

type instanceBody struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	Domain        string `json:"domain"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peerAddress"`
	Serves        string `json:"serves"`
	Version       string `json:"version"`
	Class         string `json:"class"`
	ChecksFencing bool   `json:"checksFencing"`
	State         string `json:"state"`
}

type listResponse struct {
	Instances []instanceBody `json:"instances"`
}

// Instances returns the current snapshot of the instance list.
func (c *Client) Instances(ctx context.Context) ([]rail.Instance, error) {
	var response listResponse
	if err := c.call(ctx, callTimeout, http.MethodGet, "/instances", nil, &response); err != nil {
		return nil, err
	}
	instances := make([]rail.Instance, 0, len(response.Instances))
	for _, b := range response.Instances {
		instances = append(instances, b.instance())
	}
	return instances, nil
}

// Register adds or refreshes an instance in the list; an instance that is not refreshed expires.
func (c *Client) Register(ctx context.Context, i rail.Instance) error {
	return c.call(ctx, callTimeout, http.MethodPut, instancePath("/instances", i.ID()), newInstanceBody(i), nil)
}

// Unregister removes an instance from the list.
func (c *Client) Unregister(ctx context.Context, id rail.InstanceID) error {
	return c.call(ctx, callTimeout, http.MethodDelete, instancePath("/instances", id), nil, nil)
}

func newInstanceBody(i rail.Instance) instanceBody {
	state := stateLive
	if i.Leaving() {
		state = stateLeaving
	}
	return instanceBody{
		ID:            string(i.ID()),
		Incarnation:   string(i.Incarnation()),
		Domain:        string(i.Domain()),
		Role:          string(i.Role()),
		Address:       i.Address(),
		PeerAddress:   i.PeerAddress(),
		Serves:        i.Serves(),
		Version:       string(i.Version()),
		Class:         string(i.Class()),
		ChecksFencing: i.ChecksFencing(),
		State:         state,
	}
}

func (b instanceBody) instance() rail.Instance {
	i := rail.NewInstance(rail.InstanceID(b.ID), rail.Domain(b.Domain), rail.Role(b.Role), b.Address).
		WithPeerAddress(b.PeerAddress).
		WithServing(b.Serves, rail.Version(b.Version)).
		WithFencing(b.ChecksFencing)
	if b.Incarnation != "" {
		i = i.WithIncarnation(rail.Incarnation(b.Incarnation))
	}
	if b.Class != "" {
		i = i.WithClass(rail.Class(b.Class))
	}
	if b.State == stateLeaving {
		i = i.WithLeaving()
	}
	return i
}
