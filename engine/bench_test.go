package engine_test

import (
	"fmt"
	"strings"
	"testing"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/engine"
)

func BenchmarkReadToken(b *testing.B) {
	const tokens = 1000
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "id: %d\ndata: {\"offset\":%d,\"text\":\"engraved \"}\n\n", i, i)
	}
	text.WriteString(endEvent)
	take := func(rail.Chunk) error { return nil }
	b.ReportAllocs()
	for i := 0; i < b.N; i += tokens {
		if _, err := engine.ReadStream(strings.NewReader(text.String()), take); err != nil {
			b.Fatal(err)
		}
	}
}
