package upstream

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Prefixes must give what an engine gives: the hash of the first whole blocks, each token followed by one space.
func TestPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		prompt := rapid.StringOfN(rapid.SampledFrom([]rune("ab \n\t")), 0, 300, -1).Draw(t, "prompt")
		most := rapid.IntRange(1, 6).Draw(t, "most")
		words := strings.Fields(prompt)
		var want []uint64
		for n := BlockTokens; n <= len(words) && len(want) < most; n += BlockTokens {
			want = append(want, xxhash.Sum64String(strings.Join(words[:n], " ")+" "))
		}
		got := PrefixHashes(prompt, most)
		is.Equal(len(got), len(want))
		for i := range want {
			is.Equal(got[i], want[i])
		}
	})
}
