package rail

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReadBody(t *testing.T) {
	for text, want := range map[string]bool{"": true, "tin": true, "brass": true, "copper": false} {
		is := is.New(t)
		_, complete, err := ReadBody(strings.NewReader(text), 5)
		is.NoErr(err)
		is.Equal(complete, want)
	}
}
