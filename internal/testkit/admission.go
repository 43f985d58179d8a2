package testkit

import (
	"strconv"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Admission is a request that acquired tokens from its team's limit.
type Admission struct {
	At      clock.Millis
	Request string
	// NetTokens is the number of tokens acquired minus those released.
	NetTokens int64
}

// recordTokens updates Admissions from an entry of an instance's log.
func (c *Cluster) recordTokens(entry eventlog.Entry) {
	switch entry.Number {
	case eventlog.TokensTaken:
		c.admissionIndex[entry.Request] = len(c.Admissions)
		c.Admissions = append(c.Admissions, Admission{At: c.Now, Request: entry.Request, NetTokens: parseTokens(entry)})
	case eventlog.TokensReturned:
		if i, ok := c.admissionIndex[entry.Request]; ok {
			c.Admissions[i].NetTokens -= parseTokens(entry)
		}
	}
}

// parseTokens returns the value of the entry's field "tokens", or 0.
func parseTokens(entry eventlog.Entry) int64 {
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
