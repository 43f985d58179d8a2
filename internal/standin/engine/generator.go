package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the generated text.
const (
	words     = 1000 // words is how many different tokens there are.
	stopEvery = 97   // stopEvery is the mean length of a text, in tokens.
)

// generator makes a text token by token; each depends on all text before it, so
// that an engine that goes on from a part makes the same text as the first one
// would have.
type generator struct {
	hash *xxhash.Digest
}

func newGenerator(text string) *generator {
	hash := xxhash.New()
	hash.WriteString(text)
	return &generator{hash: hash}
}

// next returns the next token, and whether the text ends after it.
func (g *generator) next() (token string, stop bool) {
	sum := g.hash.Sum64()
	token = " w" + strconv.FormatUint(sum%words, 10)
	g.hash.WriteString(token)
	return token, g.hash.Sum64()%stopEvery == 0
}

// Expected returns the whole text that an engine makes for the prompt.
func Expected(prompt string, maxTokens int64) string {
	text := &strings.Builder{}
	generate := newGenerator(prompt)
	for range maxTokens {
		token, stop := generate.next()
		text.WriteString(token)
		if stop {
			break
		}
	}
	return text.String()
}
