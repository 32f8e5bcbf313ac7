package outside

import (
	"context"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

// foreign is the kind of the records of other environments.
const foreign rail.RecordKind = "foreign"

// EnvironmentLog is the part of a shared log that belongs to one environment.
type EnvironmentLog struct {
	log    rail.Log
	prefix string
}

// NewEnvironmentLog returns a log whose records carry the environment in their kind; those of others are read as foreign, so that no part takes them for its own.
func NewEnvironmentLog(log rail.Log, environment string) *EnvironmentLog {
	return &EnvironmentLog{log: log, prefix: environment + "/"}
}

// Append adds one record of the environment and returns its offset.
func (l *EnvironmentLog) Append(ctx context.Context, kind rail.RecordKind, body []byte) (rail.Offset, error) {
	return l.log.Append(ctx, rail.RecordKind(l.prefix)+kind, body)
}

// Read returns records from the offset on, those of other environments as foreign ones.
func (l *EnvironmentLog) Read(ctx context.Context, from rail.Offset, wait time.Duration) (rail.LogRead, error) {
	read, err := l.log.Read(ctx, from, wait)
	if err != nil {
		return read, err
	}
	records := make([]rail.Record, 0, len(read.Records()))
	for _, r := range read.Records() {
		kind, ours := strings.CutPrefix(string(r.Kind()), l.prefix)
		if !ours {
			kind = string(foreign)
		}
		records = append(records, rail.NewRecord(r.Offset(), r.At(), rail.RecordKind(kind), r.Body()))
	}
	return rail.NewLogRead(records, read.Oldest(), read.Next(), read.CaughtUp()), nil
}

// FilterEnvironment returns the instances without the entries of other environments; an entry is listed as serving its environment.
func FilterEnvironment(environment string, instances []rail.Instance) []rail.Instance {
	ours := make([]rail.Instance, 0, len(instances))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry || i.Serves() == environment {
			ours = append(ours, i)
		}
	}
	return ours
}
