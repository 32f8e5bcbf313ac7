package trace_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const header = `{"type":"trace","name":"t","user":"harrowgate","seed":7,"offsetMs":0}` + "\n"

func TestWriteAndRead(t *testing.T) {
	is := is.New(t)
	c := trace.NewCaller("counters", "secret")
	requests := []trace.Request{
		trace.NewStream(0, c, "tin-writer", trace.NewPrompt(1, 32, 2, 8), 90),
		trace.NewLookup(time.Second, c, "proofs", "/proofs/3"),
		trace.NewOrder(time.Second, c, "orders", "/orders/9", "two tins", trace.ByTicket).WithCopies(2).WithHold(time.Second).WithOutcome(trace.AtMostOnce),
	}
	faults := []trace.Fault{
		trace.NewReclaimFault(time.Second, "e1", 5*time.Second),
		trace.NewProcessFault(2*time.Second, trace.Kill, "e2"),
		trace.NewControlFault(3*time.Second, "", `{"outageMs":100}`),
		trace.NewControlFault(4*time.Second, "e3", `{"silentAfter":3}`),
	}
	want := trace.New("t", "harrowgate", 7, requests, faults)
	var b bytes.Buffer
	is.NoErr(trace.Write(&b, want))
	got, err := trace.Read(&b)
	is.NoErr(err)
	is.Equal(got, want)
}

func TestReadRefuses(t *testing.T) {
	tests := []struct{ text, message string }{
		{``, "empty"},
		{`{}`, "must come first"},
		{header + header, "only there"},
		{header + `{"type":"x"}`, `line 2: unknown type "x"`},
		{header + `{"type":"request","kind":"stream","model":"m","outcome":"complete"}`, "needs model and prompt"},
		{header + `{"type":"request","kind":"stream","model":"m","prompt":{"sharedWords":-1},"maxTokens":3,"outcome":"complete"}`, "length"},
		{header + `{"type":"request","kind":"stream","model":"m","prompt":{},"maxTokens":0,"outcome":"complete"}`, "maxTokens"},
		{header + `{"type":"request","kind":"stream","model":"m","prompt":{},"maxTokens":3,"outcome":"landsOnce"}`, "can not be stated"},
		{header + `{"type":"request","kind":"order","route":"r","path":"/a","outcome":"landsOnce"}`, "claim"},
		{header + `{"type":"request","kind":"lookup","route":"r","path":"a","outcome":"complete"}`, "slash"},
		{header + `{"type":"request","kind":"lookup","offsetMs":-1}`, "offsetMs"},
		{header + `{"type":"request","kind":"lookup","copies":2}`, "copies"},
		{header + `{"type":"request","kind":"order","claim":"key","holdMs":2}`, "holdMs"},
		{header + `{"type":"request","colour":"red"}`, "colour"},
		{header + `{"type":"fault","kind":"kill"}`, "instance is required"},
		{header + `{"type":"fault","kind":"flood","instance":"e"}`, "flood"},
		{header + `{"type":"fault","kind":"platform"}`, "control is required"},
		{header + `{} {}`, "more than one"},
	}
	for _, tt := range tests {
		is := is.New(t)
		_, err := trace.Read(strings.NewReader(tt.text))
		is.True(err != nil) // the trace must be refused
		is.True(strings.Contains(err.Error(), tt.message))
	}
}

func TestPromptsShareTheirPrefix(t *testing.T) {
	is := is.New(t)
	a, b := trace.NewPrompt(1, 40, 2, 10).Text(), trace.NewPrompt(1, 40, 3, 10).Text()
	is.True(a != b)
	is.Equal(strings.Fields(a)[:40], strings.Fields(b)[:40])
	is.Equal(len(strings.Fields(a)), 50)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(header + `{"type":"request","offsetMs":5,"team":"a","token":"b","kind":"stream","model":"m","prompt":{"shared":1,"sharedWords":3,"own":2,"ownWords":4},"maxTokens":3,"outcome":"complete"}`))
	f.Add([]byte(header + `{"type":"request","offsetMs":5,"kind":"order","route":"r","path":"/p","claim":"key","outcome":"atMostOnce"}`))
	f.Add([]byte(header + `{"type":"fault","offsetMs":5,"kind":"platform","control":{"outageMs":3}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		first, err := trace.Read(bytes.NewReader(text))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := trace.Write(&b, first); err != nil {
			t.Fatal(err)
		}
		again, err := trace.Read(&b)
		if err != nil {
			t.Fatal(err)
		}
		if len(again.Requests()) != len(first.Requests()) || len(again.Faults()) != len(first.Faults()) {
			t.Fatal("writing and reading a trace again must keep all its requests and faults")
		}
	})
}
