package journal

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/gateway"
)

const (
	// maxQueuedLines bounds the queue of lines to be written.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the log rate, so that logging does not make an overload worse.
	maxLinesPerSecond = 600
	// flushInterval is the longest time that a line stays in the buffer.
	flushInterval = 100 * time.Millisecond
)

// LineWriter writes numbered events as JSON lines. Writing never blocks: lines
// over the queue or rate limit are dropped and counted. Lines are encoded without
// reflection, since a busy gateway writes a few for each request.
type LineWriter struct {
	process string
	out     *bufio.Writer
	queue   chan []byte
	dropped atomic.Int64

	mu            sync.Mutex
	currentSecond int64
	linesInSecond int
}

// NewLineWriter returns a LineWriter that writes to w; the caller must start Run.
func NewLineWriter(w io.Writer, process string) *LineWriter {
	return &LineWriter{process: process, out: bufio.NewWriter(w), queue: make(chan []byte, maxQueuedLines)}
}

var _ gateway.Log = (*LineWriter)(nil)

// Write implements gateway.Log.
func (l *LineWriter) Write(number rail.EventNumber, fields ...gateway.Field) {
	now := time.Now()
	if !l.allow(now) {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- l.encode(now, number, fields):
	default:
		l.dropped.Add(1)
	}
}

func (l *LineWriter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.currentSecond {
		l.currentSecond, l.linesInSecond = s, 0
	}
	l.linesInSecond++
	return l.linesInSecond <= maxLinesPerSecond
}

func (l *LineWriter) encode(now time.Time, number rail.EventNumber, fields []gateway.Field) []byte {
	const typicalBytes = 320
	b := make([]byte, 0, typicalBytes)
	b = append(b, `{"time":"`...)
	b = now.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, `","process":`...)
	b = strconv.AppendQuote(b, l.process)
	b = append(b, `,"event":`...)
	b = strconv.AppendInt(b, int64(number), 10)
	b = append(b, `,"title":`...)
	b = strconv.AppendQuote(b, number.Title())
	for _, f := range fields {
		b = append(b, ',')
		b = strconv.AppendQuote(b, f.Key())
		b = append(b, ':')
		b = appendValue(b, f.Value())
	}
	return append(b, '}', '\n')
}

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		return appendString(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case float64:
		return strconv.AppendFloat(b, v, 'f', 3, 64)
	case bool:
		return strconv.AppendBool(b, v)
	default:
		text, err := json.Marshal(v)
		if err != nil {
			return appendString(b, fmt.Sprint(v))
		}
		return append(b, text...)
	}
}

// appendString appends a JSON string; plain ASCII needs no escapes.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			text, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...) // Unreachable: every string has a JSON encoding.
			}
			return append(b, text...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// Run writes queued lines until the context ends, then the lines left in the queue.
func (l *LineWriter) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case b := <-l.queue:
			l.writeLine(b)
		case <-t.C:
			l.flush()
		case <-ctx.Done():
			for {
				select {
				case b := <-l.queue:
					l.writeLine(b)
				default:
					l.flush()
					return
				}
			}
		}
	}
}

func (l *LineWriter) writeLine(b []byte) {
	if _, err := l.out.Write(b); err != nil {
		l.dropped.Add(1) // A failing log has no other place to report the error.
	}
}

func (l *LineWriter) flush() {
	if n := l.dropped.Swap(0); n > 0 {
		l.writeLine(l.encode(time.Now(), rail.EventLogLinesDropped, []gateway.Field{gateway.NewField("lines", n)}))
	}
	if err := l.out.Flush(); err != nil {
		l.dropped.Add(1) // A failing log has no other place to report the error.
	}
}
