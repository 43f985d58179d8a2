package eventids_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/eventids"
)

func TestParseAcceptsOnlyOwnIdentifiers(t *testing.T) {
	credential := secret.New("the-credential")
	id := eventids.New(credential, "press", "print", "engine-1", "a1").ID(17)
	position, err := eventids.Parse(credential, "press", "print", id)
	require.NoError(t, err)
	require.Equal(t, eventids.Position{Server: "engine-1", Attempt: "a1", EventNumber: 17}, position)
	tests := map[string]struct{ credential, team, fingerprint, id string }{
		"other credential":  {"another-one", "press", "print", id},
		"other team":        {"the-credential", "crew", "print", id},
		"other request":     {"the-credential", "press", "paint", id},
		"moved separator":   {"the-credential", "press", "print", "engine-1/a/117" + id[len("engine-1/a1/17"):]},
		"other event":       {"the-credential", "press", "print", "engine-1/a1/18" + id[len("engine-1/a1/17"):]},
		"negative event":    {"the-credential", "press", "print", "engine-1/a1/-1/x"},
		"no identifier":     {"the-credential", "press", "print", "r1:4"},
		"without signature": {"the-credential", "press", "print", "engine-1/a1/17/"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := eventids.Parse(secret.New(test.credential), test.team, test.fingerprint, test.id)
			require.Error(t, err)
		})
	}
}
