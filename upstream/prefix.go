package upstream

import (
	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
)

// BlockTokens is the number of tokens in one block of an engine's prefix cache.
const BlockTokens = 16

// PrefixHashes returns the hashes of the prompt's leading complete blocks, shortest first, at most maxBlocks; each word counts as a token.
func PrefixHashes(prompt string, maxBlocks int) []uint64 {
	hashes, _ := hashPrefixes(prompt, maxBlocks)
	return hashes
}

// hashPrefixes also returns the number of tokens, extrapolated from the length of the prompt beyond the last hashed block.
func hashPrefixes(prompt string, maxBlocks int) (hashes []uint64, tokens int) {
	var d xxhash.Digest
	d.Reset()
	hashes = make([]uint64, 0, min(maxBlocks, len(prompt)/(2*BlockTokens)+1))
	from, start := 0, -1
	for i := 0; i <= len(prompt); i++ {
		if i < len(prompt) && !isSpace(prompt[i]) {
			if start < 0 {
				start = i
			}
			continue
		}
		if start < 0 {
			// Repeated white space is left out of the hash.
			from = i + 1
			continue
		}
		tokens++
		if i == len(prompt) || prompt[i] != ' ' {
			_, _ = d.WriteString(prompt[from:i])
			_, _ = d.WriteString(" ")
			from = i + 1
		} else if tokens%BlockTokens == 0 || i+1 < len(prompt) && isSpace(prompt[i+1]) {
			_, _ = d.WriteString(prompt[from : i+1])
			from = i + 1
		}
		start = -1
		if tokens%BlockTokens != 0 {
			continue
		}
		hashes = append(hashes, d.Sum64())
		if len(hashes) == maxBlocks {
			return hashes, tokens * len(prompt) / max(1, i)
		}
	}
	return hashes, tokens
}

func isSpace(b byte) bool { return b == ' ' || b == '\n' || b == '\t' || b == '\r' }

// affinityHash returns the hash of the model or service and of at most that many leading prompt blocks.
func affinityHash(criteria rail.Criteria, blocks int) uint64 {
	serves := xxhash.Sum64String(criteria.Route().Serves())
	hashes := PrefixHashes(criteria.Request().Prompt(), blocks)
	if len(hashes) == 0 {
		return mix(serves, xxhash.Sum64String(criteria.Request().Prompt()))
	}
	return mix(serves, hashes[len(hashes)-1])
}

// mix combines two hashes into a uniformly distributed one.
func mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
