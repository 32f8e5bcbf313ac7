package upstream

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Prefix hashes must equal those of the engines: hashes of the first complete blocks, with one space after each token.
func TestPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		prompt := rapid.StringOfN(rapid.SampledFrom([]rune("ab \n\t")), 0, 300, -1).Draw(t, "prompt")
		maxBlocks := rapid.IntRange(1, 6).Draw(t, "maxBlocks")
		words := strings.Fields(prompt)
		var want []uint64
		for n := BlockTokens; n <= len(words) && len(want) < maxBlocks; n += BlockTokens {
			want = append(want, xxhash.Sum64String(strings.Join(words[:n], " ")+" "))
		}
		got := PrefixHashes(prompt, maxBlocks)
		is.Equal(len(got), len(want))
		for i := range want {
			is.Equal(got[i], want[i])
		}
	})
}
