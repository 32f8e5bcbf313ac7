package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 16

// words are the texts from which the tokens of an answer are chosen.
var words = [...]string{
	"brass", "lid", "rim", "oak", "leaf", "serif", "line", "curve",
	"frame", "glass", "frost", "valve", "seed", "row", "panel", "hinge",
	"copper", "plate", "depth", "edge", "corner", "stamp", "proof", "style",
	"à", "più", "vetro", "serra", "été", "größe", "naïve", "“tin”",
}

// Answer is the answer of a model to a prompt; it depends on nothing but these two.
type Answer struct{ seed uint64 }

// NewAnswer returns the answer of the model to the prompt.
func NewAnswer(model, prompt string) Answer {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt)
	return Answer{seed: d.Sum64()}
}

// Token returns the text of the token at the offset, with its trailing space.
func (a Answer) Token(offset int) string {
	x := mix(a.seed + uint64(offset)*0x9e3779b97f4a7c15)
	return words[x%uint64(len(words))] + strconv.Itoa(int(x>>32%97)) + " "
}

// Text returns the text of the tokens in the half-open range of offsets.
func (a Answer) Text(from, to int) string {
	var b strings.Builder
	for n := from; n < to; n++ {
		b.WriteString(a.Token(n))
	}
	return b.String()
}

// mix is the finaliser of SplitMix64: each bit of the argument affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// HashFraction maps the hash of the text to the range from 0 to 1, 1 excluded.
func HashFraction(text string) float64 {
	return float64(mix(xxhash.Sum64String(text))>>11) / (1 << 53)
}

// PrefixHashes returns the hashes of the text's first block, its first two blocks, and so on; an incomplete last block is left out.
func PrefixHashes(text string) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	n := 0
	for w := range strings.FieldsSeq(text) {
		_, _ = d.WriteString(w)
		_, _ = d.Write([]byte{' '})
		n++
		if n%BlockTokens == 0 {
			hashes = append(hashes, d.Sum64())
		}
	}
	return hashes
}

// CountTokens returns the number of prompt tokens of the text.
func CountTokens(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}
