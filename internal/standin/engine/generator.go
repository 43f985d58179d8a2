package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	vocabularySize = 1000 // vocabularySize is the number of different tokens.
	meanTextTokens = 97   // meanTextTokens is the mean length of a text without a token limit.
)

// generator generates a text token by token. Each token depends on all preceding text,
// so that an engine that continues a partial text generates the same text as the first
// engine would have.
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
	token = " w" + strconv.FormatUint(sum%vocabularySize, 10)
	g.hash.WriteString(token)
	return token, g.hash.Sum64()%meanTextTokens == 0
}

// Expected returns the complete text that an engine generates for the prompt.
func Expected(prompt string, maxTokens int64) string {
	text := &strings.Builder{}
	tokens := newGenerator(prompt)
	for range maxTokens {
		token, stop := tokens.next()
		text.WriteString(token)
		if stop {
			break
		}
	}
	return text.String()
}
