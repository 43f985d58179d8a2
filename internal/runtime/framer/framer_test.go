package framer_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/framer"
)

// TestEndIsMarked verifies that a stream is read as it was written, and that it is incomplete
// wherever the connection ends before the mark.
func TestEndIsMarked(t *testing.T) {
	tests := map[string][]string{
		"empty":       {},
		"short":       {"a", "", "bc"},
		"long":        {strings.Repeat("x", 70_000), "y"},
		"whole frame": {strings.Repeat("x", 65_535)},
		"two frames":  {strings.Repeat("x", 65_536)},
	}
	for name, writes := range tests {
		t.Run(name, func(t *testing.T) {
			var wire bytes.Buffer
			writer := framer.NewWriter(&wire)
			for _, text := range writes {
				_, err := writer.Write([]byte(text))
				require.NoError(t, err)
			}
			require.NoError(t, writer.End())
			encoded := wire.Bytes()
			read, err := io.ReadAll(framer.NewReader(iotest.HalfReader(bytes.NewReader(encoded))))
			require.NoError(t, err)
			require.Equal(t, strings.Join(writes, ""), string(read))
			for _, length := range []int{0, len(encoded) / 2, len(encoded) - 2, len(encoded) - 1} {
				_, err := io.ReadAll(framer.NewReader(bytes.NewReader(encoded[:length])))
				require.Equal(t, io.ErrUnexpectedEOF, err, "%d of %d bytes", length, len(encoded))
			}
		})
	}
}
