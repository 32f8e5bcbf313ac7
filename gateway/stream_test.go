package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// splitAll feeds the data to a splitter in reads of the sizes, repeated, and returns what it forwards.
func splitAll(data []byte, sizes []byte) (*eventSplitter, string, int, error) {
	s := &eventSplitter{}
	var out strings.Builder
	total := 0
	for i := 0; len(data) > 0; i++ {
		n := len(data)
		if len(sizes) > 0 {
			n = min(n, 1+int(sizes[i%len(sizes)]))
		}
		complete, events, err := s.add(data[:n])
		out.Write(complete)
		total += events
		if err != nil {
			return s, out.String(), total, err
		}
		data = data[n:]
	}
	return s, out.String(), total, nil
}

// Each event is delivered once, or the stream ends with an error, for every order of new, repeated, skipped and id-less
// events, comments and blank lines, in every split of the reads.
func FuzzEventOrder(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0}, []byte{255})
	f.Add([]byte{0, 1, 2, 0, 3, 5, 4, 0}, []byte{0, 3, 7})
	f.Add([]byte{2, 2, 0, 9, 0, 3, 0}, []byte{1})
	f.Fuzz(func(t *testing.T, orders, sizes []byte) {
		var sent, want strings.Builder
		next, skipped, ambiguous, idle := 1, false, false, 0
		events, unnumbered, repeating := 0, 0, false
		for i, o := range orders {
			block, isNew := "", false
			switch o % 6 {
			case 0:
				block, isNew = fmt.Sprintf("id: %d\ndata: e%d\n\n", next, next), true
				next++
				unnumbered, repeating = 0, false
			case 1:
				if next == 1 {
					continue
				}
				back := 1 + int(o/6)%(next-1)
				block, repeating = fmt.Sprintf("id: %d\r\ndata: e%d\r\n\r\n", next-back, next-back), true
			case 2:
				block, isNew = fmt.Sprintf("data: n%d\n\n", i), true
				ambiguous = ambiguous || repeating
				unnumbered++
			case 3:
				block = fmt.Sprintf(": c%d\n\n", i)
			case 4:
				block, skipped = fmt.Sprintf("id: %d\ndata: g\n\n", next+1), next > 1
				if !skipped {
					continue // The first id may be any.
				}
			default:
				block = "\n"
			}
			sent.WriteString(block)
			if skipped || ambiguous {
				break
			}
			if isNew {
				events++
				idle = 0
			}
			if o%6 != 1 {
				want.WriteString(block)
			}
			if o%6 == 3 || o%6 == 5 {
				idle += len(block)
			}
			if idle > maxIdleBytes {
				return
			}
		}
		s, got, n, err := splitAll([]byte(sent.String()), sizes)
		if got != want.String() {
			t.Fatalf("forwarded %q, want %q of %q", got, want.String(), sent.String())
		}
		if (err != nil) != (skipped || ambiguous) {
			t.Fatalf("error %v for %q", err, sent.String())
		}
		if n != events || s.delivered != events {
			t.Fatalf("%d and %d events, want %d", n, s.delivered, events)
		}
		if err == nil && (!s.ended() || s.resumable() != (unnumbered == 0)) {
			t.Fatalf("ended %v, resumable %v after %q", s.ended(), s.resumable(), sent.String())
		}
	})
}

// What is forwarded does not depend on how the reads split the stream, and never is more than was sent.
func FuzzEventSplits(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\n\nid: 1\ndata: a\n\ndata\r\n\r\nid: x\n\n"), []byte{0})
	f.Add([]byte("id:9\n\n\n\r\n\nid: 10\ndata:\n\n"), []byte{3, 1})
	f.Fuzz(func(t *testing.T, data, sizes []byte) {
		if len(data) > maxIdleBytes {
			return
		}
		whole, wantOut, wantEvents, wantErr := splitAll(data, nil)
		split, out, events, err := splitAll(data, sizes)
		if out != wantOut || events != wantEvents || !errors.Is(err, wantErr) {
			t.Fatalf("forwarded %q, %d events, %v; in one read %q, %d, %v", out, events, err, wantOut, wantEvents, wantErr)
		}
		if err == nil && (!bytes.Equal(split.buffer, whole.buffer) || len(out)+len(split.buffer) > len(data)) {
			t.Fatalf("%d bytes forwarded and %d kept of %d", len(out), len(split.buffer), len(data))
		}
	})
}

func TestIdleAndLongStreamsFail(t *testing.T) {
	is := is.New(t)
	_, out, events, err := splitAll(bytes.Repeat([]byte(": c\n\n"), maxIdleBytes), []byte{200})
	is.True(errors.Is(err, errIdle))
	is.Equal(events, 0)
	is.True(len(out) <= maxIdleBytes)
	_, _, _, err = splitAll([]byte("data: "+strings.Repeat("x", 2*maxEventBytes)), []byte{200})
	is.True(errors.Is(err, errTooLong))
}
