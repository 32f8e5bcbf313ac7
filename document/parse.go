package document

import (
	"fmt"
	"slices"
	"strings"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/section"
)

const (
	// MaxSourceBytes bounds the text of a document.
	MaxSourceBytes = 64 << 10
	// maxNameBytes bounds the names of environment, teams, routes, models and versions.
	maxNameBytes = 64
)

// parser collects the content and the faults of one text.
type parser struct {
	sections []section.Section
	faults   []Fault

	environment string
	teams       []rail.Team
	routes      []rail.Route
	rollouts    []rail.Rollout
}

// Parse returns the document of the text without a version number, and all faults sorted by line; if there are faults, the document is empty.
func Parse(source string) (rail.Document, []Fault) {
	if len(source) > MaxSourceBytes {
		message := fmt.Sprintf("shorten the document to %d bytes; it has %d", MaxSourceBytes, len(source))
		return rail.Document{}, []Fault{section.NewFault(0, message)}
	}
	sections, faults := section.Read(source)
	p := &parser{sections: sections, faults: faults}
	for _, s := range sections {
		p.parseSection(s)
	}
	p.checkDocument()
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Line() - b.Line() })
		return rail.Document{}, p.faults
	}
	return rail.NewDocument(p.environment, 0, p.teams, p.routes, p.rollouts, source), nil
}

func (p *parser) addFault(line int, format string, args ...any) {
	p.faults = append(p.faults, section.NewFault(line, fmt.Sprintf(format, args...)))
}

// parseSection parses one section; the word before the first dot of its name is its kind.
func (p *parser) parseSection(s section.Section) {
	kind, name, named := strings.Cut(s.Name(), ".")
	v := &values{parser: p, section: s}
	switch {
	case s.Name() == "environment":
		p.environment = v.name("name")
	case named && name == "":
		p.addFault(s.Line(), "write a name behind the dot of [%s]", s.Name())
		return
	case named && len(name) > maxNameBytes:
		p.addFault(s.Line(), "shorten the name of [%s.…] to %d bytes", kind, maxNameBytes)
		return
	case named && kind == "team":
		p.parseTeam(name, v)
	case named && kind == "route":
		p.parseRoute(name, v)
	case named && kind == "rollout":
		p.parseRollout(name, v)
	default:
		p.addFault(s.Line(), "remove the unknown section [%s]; known are [environment], [team.NAME], [route.NAME] and [rollout.ROUTE]", s.Name())
		return
	}
	v.rejectUnknown()
}

func (p *parser) parseTeam(name string, v *values) {
	team := rail.NewTeam(rail.TeamName(name), v.hash("tokenHash"), v.share("share"), v.integer("priority", -1000, 1000)).
		WithLimit(v.number("limit")).
		WithRetryShare(v.share("retryShare"))
	p.teams = append(p.teams, team)
}

func (p *parser) parseRoute(name string, v *values) {
	kind := rail.RouteKind(v.oneOf("kind", string(rail.RouteModel), string(rail.RouteService)))
	route := rail.NewRoute(rail.RouteName(name), kind, v.name("serves"), v.boolean("idempotent"), rail.Version(v.name("stable"))).
		WithTargets(v.duration("firstToken"), v.duration("deadline"))
	p.routes = append(p.routes, route)
}

func (p *parser) parseRollout(name string, v *values) {
	version := rail.Version(v.name("version"))
	p.rollouts = append(p.rollouts, rail.NewRollout(rail.RouteName(name), version, v.time("deadline")))
}
