package rollout

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

// key identifies one rollout. A newer document with the same four values
// continues it; with another deadline it starts a new rollout.
type key struct {
	route    rail.RouteName
	stable   rail.Version
	version  rail.Version
	deadline int64
}

func newKey(route rail.Route, r rail.Rollout) key {
	k := key{route: route.Name(), stable: route.Stable(), version: r.Version()}
	if !r.Deadline().IsZero() {
		k.deadline = r.Deadline().UnixMilli()
	}
	return k
}

// subject returns the key as the subject of facts.
func (k key) subject() string {
	return strings.Join([]string{string(k.route), string(k.stable), string(k.version), strconv.FormatInt(k.deadline, 10)}, "|")
}

// position maps a request to a number from 0 to 1; requests below the share go to the new version.
func position(seed uint64, id rail.RequestID) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(string(id))
	return float64(d.Sum64()) / math.MaxUint64
}

// seedOf returns the hash seed of the rollout for position.
func seedOf(k key) uint64 { return xxhash.Sum64String(k.subject()) }
