package document

import (
	"strings"

	"dandelionrail.org/rail"
)

// shareSlack is the tolerance for rounding errors in the sum of the shares.
const shareSlack = 1e-9

// checkDocument adds the faults that involve more than one section.
func (p *parser) checkDocument() {
	if p.sectionLine("environment") == 0 {
		p.addFault(1, "add a section [environment] with a name")
	}
	if len(p.routes) == 0 && !p.hasKind("route") {
		p.addFault(1, "add at least one section [route.NAME]")
	}
	if len(p.teams) == 0 && !p.hasKind("team") {
		p.addFault(1, "add at least one section [team.NAME]")
	}
	p.checkTeams()
	p.checkRoutes()
	p.checkRollouts()
}

// sectionLine returns the line of the section's header, zero if there is none.
func (p *parser) sectionLine(name string) int {
	for _, s := range p.sections {
		if s.Name() == name {
			return s.Line()
		}
	}
	return 0
}

func (p *parser) hasKind(kind string) bool {
	for _, s := range p.sections {
		if strings.HasPrefix(s.Name(), kind+".") {
			return true
		}
	}
	return false
}

// checkTeams rejects shares with a sum over one, and two teams with the same token.
func (p *parser) checkTeams() {
	total := 0.0
	teamOfHash := map[string]rail.TeamName{}
	for _, t := range p.teams {
		line := p.sectionLine("team." + string(t.Name()))
		before := total
		total += t.Share()
		if before <= 1+shareSlack && total > 1+shareSlack {
			p.addFault(line, "lower the shares; with team %s they add up to %.3g, over 1", t.Name(), total)
		}
		if other, ok := teamOfHash[t.TokenHash()]; ok && t.TokenHash() != "" {
			p.addFault(line, "give team %s a token of its own; %s has the same hash", t.Name(), other)
			continue
		}
		teamOfHash[t.TokenHash()] = t.Name()
	}
}

// checkRoutes rejects two model routes to the same model, because callers name only the model.
func (p *parser) checkRoutes() {
	routeOfModel := map[string]rail.RouteName{}
	for _, r := range p.routes {
		if r.Kind() != rail.RouteModel || r.Serves() == "" {
			continue
		}
		if other, ok := routeOfModel[r.Serves()]; ok {
			p.addFault(p.sectionLine("route."+string(r.Name())), "let route %s serve another model; route %s serves %s already", r.Name(), other, r.Serves())
			continue
		}
		routeOfModel[r.Serves()] = r.Name()
	}
}

// checkRollouts rejects a rollout of an unknown route, and one to the stable version.
func (p *parser) checkRollouts() {
	for _, o := range p.rollouts {
		line := p.sectionLine("rollout." + string(o.Route()))
		r, ok := p.routeOf(o.Route())
		if !ok {
			p.addFault(line, "add a section [route.%s] or remove its rollout", o.Route())
			continue
		}
		if o.Version() != "" && r.Stable() == o.Version() {
			p.addFault(line, "roll route %s out to another version; %s is its stable one", o.Route(), o.Version())
		}
	}
}

func (p *parser) routeOf(name rail.RouteName) (rail.Route, bool) {
	for _, r := range p.routes {
		if r.Name() == name {
			return r, true
		}
	}
	return rail.Route{}, false
}
