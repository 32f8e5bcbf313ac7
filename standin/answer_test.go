package standin_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail/standin"
)

func TestAnswerDependsOnModelPromptAndOffset(t *testing.T) {
	is := is.New(t)
	a := standin.NewAnswer("tin-writer", "a lid with oak leaves")
	is.Equal(a.Text(0, 7)+a.Text(7, 50), standin.NewAnswer("tin-writer", "a lid with oak leaves").Text(0, 50))
	is.True(a.Text(0, 50) != standin.NewAnswer("tin-writer", "a lid with elm leaves").Text(0, 50))
	is.True(a.Text(0, 50) != standin.NewAnswer("tagger", "a lid with oak leaves").Text(0, 50))
	is.True(a.Text(0, 25) != a.Text(25, 50))
}

func TestPrefixHashes(t *testing.T) {
	tests := []struct {
		words int
		want  int
	}{{0, 0}, {15, 0}, {16, 1}, {31, 1}, {32, 2}, {90, 5}}
	for _, tt := range tests {
		is := is.New(t)
		text := strings.Repeat("brass ", tt.words)
		is.Equal(len(standin.PrefixHashes(text)), tt.want)
		is.Equal(standin.CountTokens(text), tt.words)
	}
	is := is.New(t)
	long, short := standin.PrefixHashes(strings.Repeat("a  b\n", 16)), standin.PrefixHashes(strings.Repeat("a b ", 8))
	is.Equal(long[0], short[0])
}
