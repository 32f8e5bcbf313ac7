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
	// linesQueued bounds the lines that wait to be written.
	linesQueued = 4096
	// linesPerSecond bounds the lines of one second, so that an overload does not grow by its log.
	linesPerSecond = 600
	// flushInterval is how long a line may wait in the buffer.
	flushInterval = 100 * time.Millisecond
)

// LineWriter writes numbered events as JSON lines. Writing never blocks: what finds
// no room is dropped and counted. LineWriter are made without reflection, since a
// busy gateway writes a few for each request.
type LineWriter struct {
	process string
	out     *bufio.Writer
	queue   chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	count  int
}

// NewLineWriter returns a log that writes to w; Run must be started.
func NewLineWriter(w io.Writer, process string) *LineWriter {
	return &LineWriter{process: process, out: bufio.NewWriter(w), queue: make(chan []byte, linesQueued)}
}

var _ gateway.Log = (*LineWriter)(nil)

// Write implements gateway.Log.
func (l *LineWriter) Write(number rail.EventNumber, fields ...gateway.Field) {
	now := time.Now()
	if !l.admit(now) {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- l.line(now, number, fields):
	default:
		l.dropped.Add(1)
	}
}

func (l *LineWriter) admit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.count = s, 0
	}
	l.count++
	return l.count <= linesPerSecond
}

func (l *LineWriter) line(now time.Time, number rail.EventNumber, fields []gateway.Field) []byte {
	const typical = 320
	b := make([]byte, 0, typical)
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
		return appendText(b, v)
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
			return appendText(b, fmt.Sprint(v))
		}
		return append(b, text...)
	}
}

// appendText appends a JSON string; plain ASCII needs no escapes.
func appendText(b []byte, s string) []byte {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			text, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...) // A string always has a JSON form.
			}
			return append(b, text...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// Run writes the lines until the context ends, then those that still wait.
func (l *LineWriter) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case b := <-l.queue:
			l.put(b)
		case <-t.C:
			l.flush()
		case <-ctx.Done():
			for {
				select {
				case b := <-l.queue:
					l.put(b)
				default:
					l.flush()
					return
				}
			}
		}
	}
}

func (l *LineWriter) put(b []byte) {
	if _, err := l.out.Write(b); err != nil {
		l.dropped.Add(1) // There is nowhere else to report it.
	}
}

func (l *LineWriter) flush() {
	if n := l.dropped.Swap(0); n > 0 {
		l.put(l.line(time.Now(), rail.EventLogLinesDropped, []gateway.Field{gateway.NewField("lines", n)}))
	}
	if err := l.out.Flush(); err != nil {
		l.dropped.Add(1) // There is nowhere else to report it.
	}
}
