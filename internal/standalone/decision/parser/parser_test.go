package parser_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/encoder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/parser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/sharder"
	"github.com/hyssopdoor/hyssopdoor/internal/testkit"
)

func TestParseFindings(t *testing.T) {
	valid := encoder.Encode(testkit.Sample(10, 100, "a", "b"))
	tests := map[string]struct {
		old, new string
		findings []string
	}{
		"no domains":     {"domains = a, b", "domains =", []string{"fleet.domains: names no failure domain"}},
		"domain twice":   {"domains = a, b", "domains = a, a", []string{"fleet.domains: names a twice"}},
		"negative rate":  {"rate = 10", "rate = -10", []string{"team press.rate: is not between"}},
		"bad burst":      {"burst = 100", "burst = lots", []string{"team press.burst: is not a whole number"}},
		"unknown class":  {"class = quick", "class = quikc", []string{`route orders.class: names the unknown class "quikc"`}},
		"unknown kind":   {"kind = model", "kind = modle", []string{`route verdict.kind: is "modle"; write model or service`}},
		"unknown access": {"access = keyed", "access = all", []string{`access: is "all"; write keyed or open`}},
		"open no team":   {"access = keyed", "access = open", []string{"route orders.team: names the unknown team"}},
		"unknown key":    {"rate = 10", "rate = 10\nweight = 7", []string{"team press.weight: is an unknown key"}},
		"many at once":   {"domains = a, b\n", "[fleet]\nfoo\n", []string{"fleet: stands twice", "no key = value", "names no failure domain"}},
		"bad name":       {"[team press]", "[team ../press]", []string{`team ../press: has the name "../press"`}},
		"no time":        {"firstToken = 1600ms", "firstToken = 0s", []string{"class quick.firstToken: is not a positive time"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parser.Parse("fleet.ini", []byte(strings.Replace(valid, test.old, test.new, 1)))
			require.Error(t, err)
			for _, finding := range test.findings {
				require.ErrorContains(t, err, finding)
			}
		})
	}
}

func drawConfig(t *rapid.T) config.Config {
	configuration := testkit.Sample(10, 100, "a", "b")
	for i := range rapid.IntRange(0, 200).Draw(t, "teams") {
		name := fmt.Sprintf("team-%d", i)
		configuration.Teams[name] = config.Team{Name: name, Rate: rapid.Int64Range(1, 1e12).Draw(t, "rate"), Burst: rapid.Int64Range(1, 1e12).Draw(t, "burst")}
	}
	return configuration
}

// TestRoundTrips verifies that a configuration stays equal when it is encoded and
// decoded as INI and as shards.
func TestRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configuration := drawConfig(t)
		parsed, err := parser.Parse("x.ini", []byte(encoder.Encode(configuration)))
		require.NoError(t, err)
		require.Equal(t, configuration, parsed)
		configuration = configuration.WithKey(config.Key{ID: "k1", Digest: "d", Team: "press"})
		shards, err := sharder.Split(configuration)
		require.NoError(t, err)
		joined, err := sharder.Join(sharder.Manifest{}.WithWrite("w", shards), shards.ByDigest())
		require.NoError(t, err)
		require.Equal(t, configuration, joined)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(encoder.Encode(testkit.Sample(10, 100, "a")))
	f.Add("[fleet]\ndomains=a\n[team ]\n[class\n[route x]\nkind=service")
	f.Fuzz(func(t *testing.T, text string) {
		configuration, err := parser.Parse("x.ini", []byte(text))
		if err != nil {
			return
		}
		reparsed, err := parser.Parse("x.ini", []byte(encoder.Encode(configuration)))
		require.NoError(t, err)
		require.Equal(t, encoder.Encode(configuration), encoder.Encode(reparsed))
	})
}
