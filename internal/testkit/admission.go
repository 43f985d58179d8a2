package testkit

import (
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Admission is a request that was given tokens.
type Admission struct {
	At      clock.Millis
	Request string
	// Used is what the request took and did not return, in tokens.
	Used int64
}

// noteTokens keeps the admissions from the instances' log.
func (f *Fleet) noteTokens(entry journal.Entry) {
	switch entry.Number {
	case journal.TokensTaken:
		f.admitted[entry.Request] = len(f.Admissions)
		f.Admissions = append(f.Admissions, Admission{At: f.Now, Request: entry.Request, Used: tokensOf(entry)})
	case journal.TokensReturned:
		if i, ok := f.admitted[entry.Request]; ok {
			f.Admissions[i].Used -= tokensOf(entry)
		}
	}
}

func tokensOf(entry journal.Entry) int64 {
	for _, field := range entry.Fields {
		if field.Name == "tokens" {
			tokens, err := strconv.ParseInt(field.Value, 10, 64)
			if err == nil {
				return tokens
			}
		}
	}
	return 0
}
