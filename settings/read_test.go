package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/settings"
)

const validSettings = `[entry]
id = breno-1
domain = breno

[platform]
url = http://127.0.0.1:7000
readWait = 2s
`

func TestRead(t *testing.T) {
	is := is.New(t)
	s, faults := settings.Read(validSettings)
	is.Equal(len(faults), 0)
	is.Equal(s.ID(), "breno-1")
	is.Equal(s.ReadWait(), 2*time.Second)
	is.Equal(s.ListInterval(), settings.Defaults().ListInterval())
}

func TestReadReportsAllFaultsWithLines(t *testing.T) {
	tests := []struct {
		name, source string
		want         []string
	}{
		{"unknown key", validSettings + "colour = red\n", []string{"line 8: [platform] colour: no such key"}},
		{"unknown section", validSettings + "[paint]\ncolour = red\n", []string{"line 8: [paint]: no such section"}},
		{"two bad values", validSettings + "listInterval = 0s\n[limits]\nqueueLength = few\n", []string{"line 8: [platform] listInterval", "line 10: [limits] queueLength"}},
		{"missing keys", "[entry]\n", []string{"[entry] id", "[entry] domain", "[platform] url"}},
		{"control listener beyond loopback without TLS", strings.Replace(validSettings, "domain = breno", "domain = breno\ncontrolListen = 10.0.0.1:1", 1), []string{"line 4: [entry] controlListen: beyond loopback"}},
		{"order window over half of the retention", validSettings + "retention = 10m\n[orders]\nwindow = 6m\n", []string{"line 10: [orders] window: log retention"}},
		{"inter-token timeout below the mark interval", validSettings + "[answers]\nbetweenTokens = 1ms\n", []string{"[answers] firstToken: "}},
		{"certificate and authority missing", validSettings + "[tls]\nkey = k.pem\n", []string{"[tls] certificate"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, faults := settings.Read(tt.source)
			is.Equal(len(faults), len(tt.want))
			for i, f := range faults {
				is.True(strings.Contains(f.String(), tt.want[i]))
			}
		})
	}
}
