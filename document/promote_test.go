package document_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail/document"
)

// productionDocument is the production document before the promotion.
var productionDocument = strings.NewReplacer("name = trial", "name = production", hashA, strings.Repeat("c", 64), hashB, strings.Repeat("d", 64),
	"limit = 200", "limit = 900", "stable = v7", "stable = v6").Replace(validDocument)

func TestPromote(t *testing.T) {
	is := is.New(t)
	promoted, faults := document.Promote(validDocument, productionDocument, "[rollout.frames]\ndeadline = 2026-12-05T06:00:00Z\n")
	is.Equal(len(faults), 0)
	d, faults := document.Parse(promoted)
	is.Equal(len(faults), 0)
	is.Equal(d.Environment(), "production")
	is.Equal(d.Teams()[0].TokenHash(), strings.Repeat("c", 64))
	is.Equal(d.Teams()[0].Limit(), 900.0)
	is.Equal(string(d.Routes()[1].Stable()), "v7") // promoted from trial
	is.Equal(d.Rollouts()[0].Deadline().Day(), 5)
	var changed []string
	for _, c := range document.Diff(validDocument, promoted) {
		changed = append(changed, c.Section()+" "+c.Key())
	}
	is.Equal(changed, []string{"environment name", "team.members tokenHash", "team.members limit", "team.nursery tokenHash", "rollout.frames deadline"})
}

func TestPromoteNamesWhatIsMissing(t *testing.T) {
	tests := []struct {
		name           string
		target, values string
		message        string
	}{
		{"first promotion", "", "[environment]\nname = production\n[team.members]\ntokenHash = x\n", "state tokenHash of [team.nursery]"},
		{"no name", "", "", "state name of [environment]"},
		{"value of a section that the source lacks", productionDocument, "[team.shops]\nshare = 0.1\n", "remove share of [team.shops]"},
		{"values that cannot be read", productionDocument, "team", "key = value"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := document.Promote(validDocument, tt.target, tt.values)
			for _, f := range faults {
				if strings.Contains(f.Message(), tt.message) {
					return
				}
			}
			t.Errorf("no fault with %q among %v", tt.message, faults)
		})
	}
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	after := strings.Replace(validDocument, "share = 0.4\n", "priority = 2\n", 1)
	changes := document.Diff(validDocument, after)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].Key()+changes[0].After(), "priority2")
	is.Equal(changes[1].Key()+changes[1].Before(), "share0.4")
}
