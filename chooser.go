package rail

// Criteria states which upstreams an attempt of a request may use.
type Criteria struct {
	request Request
	route   Route
	version Version
	domain  Domain
	exclude []InstanceID
}

// NewCriteria returns the criteria for an upstream that serves the route in the version; domain is that of the entry.
func NewCriteria(request Request, route Route, version Version, domain Domain) Criteria {
	return Criteria{request: request, route: route, version: version, domain: domain}
}

// Excluding returns a copy without these upstreams, on which earlier attempts of the request failed.
func (c Criteria) Excluding(ids ...InstanceID) Criteria { c.exclude = ids; return c }

// Request returns the request.
func (c Criteria) Request() Request { return c.request }

// Route returns the route.
func (c Criteria) Route() Route { return c.route }

// Version returns the version.
func (c Criteria) Version() Version { return c.version }

// Domain returns the failure domain of the entry.
func (c Criteria) Domain() Domain { return c.domain }

// Excluded returns the upstreams that must not be chosen.
func (c Criteria) Excluded() []InstanceID { return c.exclude }

// Chooser chooses the upstream of an attempt.
type Chooser interface {
	// Choose returns one of the candidates, false if none is suitable; random is a uniform random number.
	Choose(c Criteria, candidates []Instance, random uint64) (Instance, bool)
}

// Directory looks up the upstreams that may receive new work.
type Directory interface {
	// Upstreams returns the live, reachable instances of the model or service in the version, sorted by id.
	Upstreams(serves string, version Version) []Instance
}

// VersionPicker assigns requests to versions.
type VersionPicker interface {
	// Pick returns the version that serves the request on the route.
	Pick(route Route, request RequestID) Version
}
