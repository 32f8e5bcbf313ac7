package recording_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/recording"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

// shippedSeed is the seed of the traces in the repository.
const shippedSeed = 7

func TestShippedTracesMatchSeed(t *testing.T) {
	for _, name := range recording.Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			made, err := recording.Generate(name, shippedSeed)
			is.NoErr(err)
			var b bytes.Buffer
			is.NoErr(trace.Write(&b, made))
			shipped, err := os.ReadFile("../../../demo/traces/" + name + ".jsonl")
			is.NoErr(err)
			is.True(bytes.Equal(b.Bytes(), shipped)) // generate the traces again: railreplay record NAME
		})
	}
}

func TestTraceSizes(t *testing.T) {
	tests := []struct {
		name                     string
		user                     string
		minRequests, maxRequests int
		reclaims, minOrders      int
	}{
		{"harrowgate-demo", "harrowgate", 350, 550, 2, 50},
		{"valcamonica-demo", "valcamonica", 300, 550, 2, 30},
		{"harrowgate", "harrowgate", 5000, 6500, 7, 900},
		{"valcamonica", "valcamonica", 2000, 3500, 5, 250},
	}
	for _, tt := range tests {
		is := is.New(t)
		made, err := recording.Generate(tt.name, shippedSeed)
		is.NoErr(err)
		is.Equal(made.User(), tt.user)
		is.True(len(made.Requests()) >= tt.minRequests && len(made.Requests()) <= tt.maxRequests)
		is.Equal(len(made.Faults()), tt.reclaims)
		orders := 0
		for _, r := range made.Requests() {
			if r.Kind() == trace.Order {
				orders++
			}
		}
		is.True(orders >= tt.minOrders)
	}
	is := is.New(t)
	_, err := recording.Generate("unknown", 1)
	is.True(err != nil)
}
