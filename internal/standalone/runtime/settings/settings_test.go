package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/settings"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const valid = `[instance]
name = split-a-1
domain = split-a

[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
peers = 127.0.0.1:8082

[platform]
address = http://127.0.0.1:9000

[fleet]
seeds = 127.0.0.1:8182, 127.0.0.1:8282
credential = a-credential-of-the-fleet

[operators]
token = a-token-of-the-operators
`

func TestParse(t *testing.T) {
	cfg, err := settings.Parse("x.ini", []byte(valid))
	require.NoError(t, err)
	require.Equal(t, "split-a-1", cfg.Name)
	require.Equal(t, []string{"127.0.0.1:8182", "127.0.0.1:8282"}, cfg.Fleet.Seeds)
	require.Equal(t, 500*clock.Millisecond, cfg.Platform.Timeout)
	require.NotContains(t, cfg.OperatorToken.String(), "token")
}

func TestParseFindings(t *testing.T) {
	tests := map[string]struct {
		old, new string
		findings []string
	}{
		"missing section": {"[operators]\ntoken = a-token-of-the-operators\n", "", []string{"x.ini: operators: is missing", "operators.token: is missing"}},
		"missing key":     {"name = split-a-1\n", "", []string{"x.ini:1: instance.name: is missing; give the instance a name"}},
		"unknown key":     {"name = split-a-1", "name = a\nnmae = b", []string{"x.ini:3: instance.nmae: is an unknown key"}},
		"unknown section": {"[platform]", "[platfrom]", []string{"platfrom: is an unknown section", "platform: is missing"}},
		"bad address":     {"127.0.0.1:8080", "localhost", []string{"x.ini:6: listen.callers: is not host:port"}},
		"bad URL":         {"http://127.0.0.1:9000", "ftp://x", []string{"x.ini:11: platform.address: is not an http or https URL"}},
		"short secret":    {"a-token-of-the-operators", "short", []string{"x.ini:18: operators.token: is shorter than 16"}},
		"duplicate key":   {"domain = split-a", "domain = split-a\ndomain = b", []string{"x.ini:4: instance.domain: stands twice"}},
		"bad time":        {"[fleet]", "[timeouts]\nanswer = soon\ndrain = -1s\n[fleet]", []string{"timeouts.answer: is not a time", "timeouts.drain: is not a positive time"}},
		"bad number":      {"[fleet]", "[limits]\nmaxInFlight = many\nbodyBytes = 0\n[fleet]", []string{"limits.maxInFlight: is not a whole number", "limits.bodyBytes: is not a positive number"}},
		"no key = value":  {"[fleet]", "what is this\n[fleet]", []string{"x.ini:13: platform: has a line that is no key = value"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("x.ini", []byte(strings.Replace(valid, test.old, test.new, 1)))
			require.Error(t, err)
			for _, finding := range test.findings {
				require.ErrorContains(t, err, finding)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[a\n=\n[instance]\nname")
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := settings.Parse("x.ini", []byte(text))
		if err == nil {
			require.NotEmpty(t, cfg.Name)
			require.Positive(t, cfg.Timeouts.Response)
		}
	})
}
