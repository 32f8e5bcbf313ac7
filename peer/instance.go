package peer

import (
	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gen/railv1"
)

func instanceMessage(i rail.Instance) *railv1.KnownInstance {
	return &railv1.KnownInstance{
		Id:            string(i.ID()),
		Incarnation:   string(i.Incarnation()),
		Domain:        string(i.Domain()),
		Role:          string(i.Role()),
		Address:       i.Address(),
		PeerAddress:   i.PeerAddress(),
		Serves:        i.Serves(),
		Version:       string(i.Version()),
		Class:         string(i.Class()),
		ChecksFencing: i.ChecksFencing(),
		Leaving:       i.Leaving(),
	}
}

func instanceFrom(m *railv1.KnownInstance) rail.Instance {
	i := rail.NewInstance(rail.InstanceID(m.GetId()), rail.Domain(m.GetDomain()), rail.Role(m.GetRole()), m.GetAddress()).
		WithIncarnation(rail.Incarnation(m.GetIncarnation())).
		WithPeerAddress(m.GetPeerAddress()).
		WithServing(m.GetServes(), rail.Version(m.GetVersion())).
		WithClass(rail.Class(m.GetClass())).
		WithFencing(m.GetChecksFencing())
	if m.GetLeaving() {
		i = i.WithLeaving()
	}
	return i
}
