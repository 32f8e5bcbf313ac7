package document_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// validDocument is a document without faults.
const validDocument = `; the co-op's trial
[environment]
name = trial

[team.members]
tokenHash = ` + hashA + `
share = 0.6
priority = 3
limit = 200
retryShare = 0.1

[team.nursery]
tokenHash = ` + hashB + `
share = 0.4

[route.frames]
kind = model
serves = frame-writer
idempotent = true
stable = v1
firstToken = 800ms
deadline = 2m

[route.orders]
kind = service
serves = orders
idempotent = false
stable = v7

[rollout.frames]
version = v2
deadline = 2026-12-04T06:00:00Z
`

func TestParse(t *testing.T) {
	is := is.New(t)
	d, faults := document.Parse(validDocument)
	is.Equal(len(faults), 0)
	is.Equal(d.Environment(), "trial")
	is.Equal(d.Number(), uint64(0))
	is.Equal(d.Source(), validDocument)
	is.Equal(d.Teams(), []rail.Team{
		rail.NewTeam("members", hashA, 0.6, 3).WithLimit(200).WithRetryShare(0.1),
		rail.NewTeam("nursery", hashB, 0.4, 0),
	})
	is.Equal(d.Routes(), []rail.Route{
		rail.NewRoute("frames", rail.RouteModel, "frame-writer", true, "v1").WithTargets(800*time.Millisecond, 2*time.Minute),
		rail.NewRoute("orders", rail.RouteService, "orders", false, "v7"),
	})
	is.Equal(d.Rollouts(), []rail.Rollout{
		rail.NewRollout("frames", "v2", time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)),
	})
}

// TestParseFaults makes one change to the valid document and checks the line of the fault and a part of its message.
func TestParseFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		line     int
		message  string
	}{
		{"missing environment", "[environment]\nname = trial\n", "", 1, "add a section [environment]"},
		{"missing key", "name = trial\n", "", 2, "add name to [environment]"},
		{"unknown section", "[environment]", "[settings]", 2, "unknown section [settings]"},
		{"section without a name", "[team.members]", "[team.]", 5, "name behind the dot"},
		{"duplicate section", "[team.nursery]", "[team.members]", 12, "stands already in line 5"},
		{"unknown key", "limit = 200", "limits = 200", 9, "unknown key limits"},
		{"duplicate key", "limit = 200", "share = 0.1", 9, "stands already in line 7"},
		{"short hash", hashB, "bb", 13, "64 lower-case hex digits"},
		{"hash in upper case", hashB, strings.ToUpper(hashB), 13, "64 lower-case hex digits"},
		{"one token for two teams", hashB, hashA, 12, "members has the same hash"},
		{"share over one", "share = 0.6", "share = 1.6", 7, "from 0 to 1"},
		{"share not a number", "share = 0.6", "share = NaN", 7, "from 0 to 1"},
		{"shares over one", "share = 0.4", "share = 0.5", 12, "add up to 1.1"},
		{"priority", "priority = 3", "priority = high", 8, "whole number"},
		{"limit", "limit = 200", "limit = -1", 9, "requests a second"},
		{"kind", "kind = service", "kind = shop", 25, "one of model, service"},
		{"boolean", "idempotent = false", "idempotent = no", 27, "true or false"},
		{"duration", "firstToken = 800ms", "firstToken = 800", 21, "such as 800ms"},
		{"time", "2026-12-04T06:00:00Z", "tomorrow", 32, "such as 2026"},
		{"two routes to one model", "kind = service\nserves = orders", "kind = model\nserves = frame-writer", 24, "route frames serves"},
		{"rollout of no route", "[rollout.frames]", "[rollout.frame]", 30, "add a section [route.frame]"},
		{"rollout to the stable version", "version = v2", "version = v1", 30, "v1 is its stable one"},
		{"no key", "priority = 3", "priority", 8, "key = value"},
		{"no value", "priority = 3", "priority =", 8, "give priority a value"},
		{"only a comment", "name = trial", "name = #trial", 3, "give name a value"},
		{"quotes", "name = trial", `name = "trial"`, 3, "without quotes"},
		{"unclosed header", "[team.nursery]", "[team.nursery", 12, "[name]"},
		{"key before a section", "; the co-op's trial", "a = b", 1, "below the head"},
		{"space in a name", "serves = frame-writer", "serves = frame writer", 18, "without spaces"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d, faults := document.Parse(strings.Replace(validDocument, tt.old, tt.new, 1))
			is.Equal(d.Environment(), "")
			for _, f := range faults {
				if f.Line() == tt.line && strings.Contains(f.Message(), tt.message) {
					return
				}
			}
			t.Errorf("no fault in line %d with %q among %v", tt.line, tt.message, faults)
		})
	}
}

func TestParseGivesAllFaultsInOrder(t *testing.T) {
	is := is.New(t)
	source := strings.NewReplacer("name = trial", "name", "share = 0.6", "share = x", "v2", "v 2").Replace(validDocument)
	_, faults := document.Parse(source)
	var lines []int
	for _, f := range faults {
		lines = append(lines, f.Line())
	}
	is.Equal(lines, []int{2, 3, 7, 31})
}

func TestParseLongSource(t *testing.T) {
	is := is.New(t)
	_, faults := document.Parse(strings.Repeat(";", document.MaxSourceBytes+1))
	is.Equal(len(faults), 1)
}
