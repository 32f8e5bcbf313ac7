package gateway

import (
	"slices"
	"time"

	"dandelionrail.org/rail/gen/railv1"
)

// Load is what a gateway has under way at one upstream.
type Load struct {
	running int
	// waitingTokens are the prompt tokens of the requests without a first token.
	waitingTokens int64
	// heldTokens are the tokens of all requests.
	heldTokens int64
}

func (l *Load) add(o Load) {
	l.running += o.running
	l.waitingTokens += o.waitingTokens
	l.heldTokens += o.heldTokens
}

func (l *Load) subtract(o Load) {
	l.add(Load{running: -o.running, waitingTokens: -o.waitingTokens, heldTokens: -o.heldTokens})
}

// versionKey names a version of a service.
type versionKey struct{ service, version string }

// tally counts what came of the requests sent to a version.
type tally struct{ good, bad int64 }

func (t *tally) add(o tally) {
	t.good += o.good
	t.bad += o.bad
}

// usage counts the requests that began, by window and team.
type usage map[int64]map[string]int64

func (u usage) count(window int64, team string, n int64) {
	if u[window] == nil {
		u[window] = map[string]int64{}
	}
	u[window][team] += n
}

func (u usage) add(o usage) {
	for w, counts := range o {
		for team, n := range counts {
			u.count(w, team, n)
		}
	}
}

// Digest is what one gateway says of itself and of those for which it speaks; counts are since the starts.
type Digest struct {
	gateway     string
	incarnation string
	// sequence grows with each digest of one incarnation: a partition may hold one up until after its successors.
	sequence  int64
	wall      time.Time
	storeAway bool
	loads     map[string]Load
	// admitted is what was admitted in the last window, by team.
	admitted map[string]parts
	// latest and usual are the rates of requests that come to the gateway, in requests a second, without the team that grew most.
	latest, usual float64
	usage         usage
	leaving       []string
	versions      map[versionKey]tally
	demand        int64
	// domains are those of the gateways that the digest tells of.
	domains []string
	// members are the gateways for which this one speaks and which it heard lately, itself included; covers is the number of gateways that the digest tells of.
	members []string
	covers  int
	// whole says that the digest tells of all gateways but the one that it is for.
	whole bool
	// idle says that the gateway does not know the configuration yet, or leaves.
	idle bool
	// fence is that of the lease on the duties if the gateway holds it, zero otherwise.
	fence int64
}

// include adds what a peer told a time ago.
func (d *Digest) include(p *peer, silent time.Duration) {
	d.usage.add(p.digest.usage)
	d.usage.add(p.ended)
	for k, t := range p.digest.versions {
		sum := d.versions[k]
		sum.add(t)
		d.versions[k] = sum
	}
	d.demand += p.digest.demand
	if silent < loadAge {
		for id, l := range p.digest.loads {
			sum := d.loads[id]
			sum.add(l)
			d.loads[id] = sum
		}
	}
	if silent < peerSilence {
		d.fence = max(d.fence, p.digest.fence)
	}
	if silent >= reserveSilence {
		return
	}
	d.covers += p.digest.covers
	d.latest, d.usual = d.latest+p.digest.latest, d.usual+p.digest.usual
	for _, domain := range p.digest.domains {
		if !slices.Contains(d.domains, domain) {
			d.domains = append(d.domains, domain)
		}
	}
}

// Gateway returns the name of the gateway that says it.
func (d Digest) Gateway() string { return d.gateway }

// StoreUnavailable reports whether the gateway cannot read the store.
func (d Digest) StoreUnavailable() bool { return d.storeAway }

// Fence returns the fence of the lease on the duties if the gateway holds it, zero otherwise.
func (d Digest) Fence() int64 { return d.fence }

// Message returns the digest as it is sent.
func (d Digest) Message() *railv1.GatewayDigest {
	m := &railv1.GatewayDigest{
		Gateway: d.gateway, Incarnation: d.incarnation, Sequence: d.sequence, WallMs: d.wall.UnixMilli(), StoreAway: d.storeAway,
		Leaving: d.leaving, DemandTokens: d.demand, LatestArrivals: d.latest, UsualArrivals: d.usual, Domains: d.domains, Members: d.members, Covers: int32(d.covers), Whole: d.whole, Idle: d.idle, Fence: d.fence,
	}
	for team, p := range d.admitted {
		admitted := &railv1.AdmittedTokens{Team: team}
		for _, n := range p {
			admitted.Parts = append(admitted.Parts, int64(n))
		}
		m.Admitted = append(m.Admitted, admitted)
	}
	for id, l := range d.loads {
		m.Loads = append(m.Loads, &railv1.UpstreamLoad{Upstream: id, Running: int32(l.running), WaitingTokens: l.waitingTokens, HeldTokens: l.heldTokens}) //nolint:gosec // Bounded by the connections.
	}
	for n, counts := range d.usage {
		m.Usage = append(m.Usage, &railv1.UsageWindow{Number: n, Counts: counts})
	}
	for k, t := range d.versions {
		m.Versions = append(m.Versions, &railv1.VersionTally{Service: k.service, Version: k.version, Good: t.good, Bad: t.bad})
	}
	return m
}

// DigestFrom returns the digest that a peer sent.
func DigestFrom(m *railv1.GatewayDigest) Digest {
	d := Digest{
		gateway: m.GetGateway(), incarnation: m.GetIncarnation(), sequence: m.GetSequence(), wall: time.UnixMilli(m.GetWallMs()), storeAway: m.GetStoreAway(),
		loads: make(map[string]Load, len(m.GetLoads())), admitted: make(map[string]parts, len(m.GetAdmitted())), usage: usage{}, leaving: m.GetLeaving(),
		versions: map[versionKey]tally{}, demand: m.GetDemandTokens(), latest: m.GetLatestArrivals(), usual: m.GetUsualArrivals(), domains: m.GetDomains(), members: m.GetMembers(), covers: int(m.GetCovers()), whole: m.GetWhole(), idle: m.GetIdle(), fence: m.GetFence(),
	}
	for _, a := range m.GetAdmitted() {
		var p parts
		for i, n := range a.GetParts() {
			if i < len(p) {
				p[i] = float64(n)
			}
		}
		d.admitted[a.GetTeam()] = p
	}
	for _, l := range m.GetLoads() {
		d.loads[l.GetUpstream()] = Load{running: int(l.GetRunning()), waitingTokens: l.GetWaitingTokens(), heldTokens: l.GetHeldTokens()}
	}
	for _, w := range m.GetUsage() {
		d.usage[w.GetNumber()] = w.GetCounts()
	}
	for _, t := range m.GetVersions() {
		d.versions[versionKey{t.GetService(), t.GetVersion()}] = tally{good: t.GetGood(), bad: t.GetBad()}
	}
	return d
}
