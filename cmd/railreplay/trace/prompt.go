package trace

import (
	"math/rand/v2"
	"strings"
)

// vocabulary contains the words that prompts are generated from.
var vocabulary = [...]string{
	"letter", "the", "lid", "of", "a", "school", "tin", "with", "oak", "leaves", "and", "name", "in", "plain", "serif",
	"for", "frame", "glass", "panel", "frost", "quote", "row", "seed", "valve", "proof", "style", "depth", "brass",
	"corner", "edge", "delivery", "dawn",
}

// Prompt describes a prompt by seeds and lengths: a prefix shared with other prompts, and a suffix of its own.
type Prompt struct {
	shared      uint64
	sharedWords int
	own         uint64
	ownWords    int
}

// NewPrompt returns a prompt with the seed and length of its shared prefix and of its own suffix; equal seeds give equal words.
func NewPrompt(shared uint64, sharedWords int, own uint64, ownWords int) Prompt {
	return Prompt{shared: shared, sharedWords: sharedWords, own: own, ownWords: ownWords}
}

// Words returns the number of words.
func (p Prompt) Words() int { return p.sharedWords + p.ownWords }

// Text returns the text of the prompt.
func (p Prompt) Text() string {
	var b strings.Builder
	writeWords(&b, rand.New(rand.NewPCG(p.shared, 1)), p.sharedWords)
	writeWords(&b, rand.New(rand.NewPCG(p.own, 2)), p.ownWords)
	return strings.TrimSuffix(b.String(), " ")
}

func writeWords(b *strings.Builder, r *rand.Rand, words int) {
	for range words {
		b.WriteString(vocabulary[r.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
}
