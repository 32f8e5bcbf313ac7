package rail

// Role is the type of process on an instance.
type Role string

// The roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Class is the price class of an instance.
type Class string

// The price classes.
const (
	ClassReclaimable Class = "reclaimable"
	ClassOnDemand    Class = "onDemand"
)

// Instance is one machine as the platform's list shows it.
type Instance struct {
	id            InstanceID
	incarnation   Incarnation
	domain        Domain
	role          Role
	address       string
	peerAddress   string
	serves        string
	version       Version
	class         Class
	checksFencing bool
	leaving       bool
}

// NewInstance returns a live on-demand instance; address is host:port.
func NewInstance(id InstanceID, domain Domain, role Role, address string) Instance {
	return Instance{id: id, incarnation: Incarnation(id), domain: domain, role: role, address: address, class: ClassOnDemand}
}

// WithIncarnation returns a copy that carries the process's incarnation.
func (i Instance) WithIncarnation(n Incarnation) Instance { i.incarnation = n; return i }

// WithPeerAddress returns a copy with the host:port of an entry's peer listener.
func (i Instance) WithPeerAddress(a string) Instance { i.peerAddress = a; return i }

// WithServing returns a copy that serves the version of the model or service.
func (i Instance) WithServing(serves string, v Version) Instance {
	i.serves, i.version = serves, v
	return i
}

// WithClass returns a copy of the price class.
func (i Instance) WithClass(c Class) Instance { i.class = c; return i }

// WithFencing returns a copy that states whether the upstream checks fencing numbers.
func (i Instance) WithFencing(checks bool) Instance { i.checksFencing = checks; return i }

// WithLeaving returns a copy that is leaving.
func (i Instance) WithLeaving() Instance { i.leaving = true; return i }

// ID returns the instance's id.
func (i Instance) ID() InstanceID { return i.id }

// Incarnation returns the incarnation of the process on the instance, the instance id if none was set.
func (i Instance) Incarnation() Incarnation { return i.incarnation }

// Domain returns the failure domain.
func (i Instance) Domain() Domain { return i.domain }

// Role returns the type of process on the instance.
func (i Instance) Role() Role { return i.role }

// Address returns host:port.
func (i Instance) Address() string { return i.address }

// PeerAddress returns host:port of an entry's peer listener, empty for upstreams.
func (i Instance) PeerAddress() string { return i.peerAddress }

// Serves returns the model's or service's name.
func (i Instance) Serves() string { return i.serves }

// Version returns the version that the instance serves.
func (i Instance) Version() Version { return i.version }

// Class returns the price class.
func (i Instance) Class() Class { return i.class }

// ChecksFencing reports whether the upstream rejects an order with an old fencing number.
func (i Instance) ChecksFencing() bool { return i.checksFencing }

// Leaving reports whether the instance must receive no new work.
func (i Instance) Leaving() bool { return i.leaving }
