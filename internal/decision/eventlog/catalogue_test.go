package eventlog_test

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
)

// TestCatalogue verifies that the events in the code and in docs/EVENTS.md are the
// same.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../../../docs/EVENTS.md")
	require.NoError(t, err)
	documented := map[eventlog.Number]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| (\\d+) \\| `(\\w+)` \\| \\S").FindAllStringSubmatch(string(data), -1) {
		number, err := strconv.Atoi(row[1])
		require.NoError(t, err)
		require.NotContains(t, documented, eventlog.Number(number), "a number is listed twice")
		documented[eventlog.Number(number)] = row[2]
	}
	require.Equal(t, eventlog.Names(), documented)
}
