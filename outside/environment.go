package outside

import (
	"context"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

// kindForeign is the kind of the records of other environments.
const kindForeign rail.RecordKind = "foreign"

// EnvironmentLog is the view of one environment on a log that several share.
type EnvironmentLog struct {
	log    rail.Log
	prefix string
}

// NewEnvironmentLog returns a log that prefixes the kind of its records with the environment; records of other environments are read with the kind foreign, which no reducer applies.
func NewEnvironmentLog(log rail.Log, environment string) *EnvironmentLog {
	return &EnvironmentLog{log: log, prefix: environment + "/"}
}

// Append adds one record of the environment and returns its offset.
func (l *EnvironmentLog) Append(ctx context.Context, kind rail.RecordKind, body []byte) (rail.Offset, error) {
	return l.log.Append(ctx, rail.RecordKind(l.prefix)+kind, body)
}

// Read returns records from the offset on; those of other environments have the kind foreign.
func (l *EnvironmentLog) Read(ctx context.Context, from rail.Offset, wait time.Duration) (rail.LogRead, error) {
	read, err := l.log.Read(ctx, from, wait)
	if err != nil {
		return read, err
	}
	records := make([]rail.Record, 0, len(read.Records()))
	for _, r := range read.Records() {
		kind, own := strings.CutPrefix(string(r.Kind()), l.prefix)
		if !own {
			kind = string(kindForeign)
		}
		records = append(records, rail.NewRecord(r.Offset(), r.At(), rail.RecordKind(kind), r.Body()))
	}
	return rail.NewLogRead(records, read.Oldest(), read.Next(), read.CaughtUp()), nil
}

// FilterEnvironment returns the instances without the entries of other environments; an entry's serves field holds its environment.
func FilterEnvironment(environment string, instances []rail.Instance) []rail.Instance {
	filtered := make([]rail.Instance, 0, len(instances))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry || i.Serves() == environment {
			filtered = append(filtered, i)
		}
	}
	return filtered
}
