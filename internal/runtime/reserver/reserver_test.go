package reserver_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/reserver"
)

// TestFaultyPartiesLeaveMemoryToOthers guards against parties that send without end and take up the memory
// that a sound one needs for a long answer.
func TestFaultyPartiesLeaveMemoryToOthers(t *testing.T) {
	for name, test := range map[string]struct {
		parties []string
		left    int64 // left is the least part of 1,000 that another party gets.
	}{
		"none":                   {nil, 500},
		"one":                    {[]string{"a"}, 250},
		"two":                    {[]string{"a", "b"}, 160},
		"one with many accounts": {[]string{"a", "a", "a", "a"}, 250},
		"five":                   {[]string{"a", "b", "c", "d", "e"}, 80},
	} {
		t.Run(name, func(t *testing.T) {
			memory := reserver.New(1000)
			var accounts []*reserver.Account
			for _, party := range test.parties {
				accounts = append(accounts, memory.Account(party))
			}
			for grown := true; grown; {
				grown = false
				for _, account := range accounts {
					grown = account.Grow(1) || grown
				}
			}
			sound := memory.Account("sound")
			for sound.Grow(1) {
			}
			require.GreaterOrEqual(t, sound.Held(), test.left)
			require.LessOrEqual(t, memory.Held(), int64(1000))
			for _, account := range append(accounts, sound) {
				account.Release()
				account.Release()
			}
			require.Zero(t, memory.Held())
		})
	}
}

// TestAccountsWithoutPartyShareAll verifies that the limit is kept, and used up, by accounts of no party.
func TestAccountsWithoutPartyShareAll(t *testing.T) {
	memory := reserver.New(1000)
	first, second := memory.Account(""), memory.Account("")
	require.True(t, first.Grow(700))
	require.False(t, second.Grow(301))
	require.True(t, second.Grow(300))
	first.Shrink(600)
	first.Shrink(800)
	require.Equal(t, int64(600), first.Held())
	require.True(t, second.Grow(100))
}

// TestReadAll verifies what is read of a body, and what stays reserved for it.
func TestReadAll(t *testing.T) {
	const unreserved, limit, memoryLimit = 1000, 1 << 20, 4 << 20
	broken := errors.New("broken")
	for name, test := range map[string]struct {
		body  io.Reader
		taken int64 // taken is the memory that others hold.
		want  int
		held  int64
		err   error
	}{
		"empty":                      {body: strings.NewReader("")},
		"short":                      {body: strings.NewReader(strings.Repeat("x", 999)), want: 999},
		"the first bytes":            {body: strings.NewReader(strings.Repeat("x", 1000)), want: 1000},
		"several steps":              {body: strings.NewReader(strings.Repeat("x", 600<<10)), want: 600 << 10, held: 600<<10 - unreserved},
		"the limit":                  {body: strings.NewReader(strings.Repeat("x", limit)), want: limit, held: limit - unreserved},
		"one byte more":              {body: strings.NewReader(strings.Repeat("x", limit+1)), held: 2048 << 10, err: reserver.ErrTooLong},
		"without end":                {body: io.MultiReader(strings.NewReader("x"), endless{}), held: 2048 << 10, err: reserver.ErrTooLong},
		"no memory is left":          {body: endless{}, taken: memoryLimit - 100, err: reserver.ErrFull},
		"short, no memory is left":   {body: strings.NewReader("short"), taken: memoryLimit, want: 5},
		"broken":                     {body: io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), err: broken},
		"broken after the first one": {body: io.MultiReader(strings.NewReader(strings.Repeat("x", 5000)), iotest.ErrReader(broken)), held: 512 << 10, err: broken},
	} {
		t.Run(name, func(t *testing.T) {
			memory := reserver.New(memoryLimit)
			require.True(t, memory.Account("").Grow(test.taken))
			account := memory.Account("")
			body, err := account.ReadAll(test.body, unreserved, limit)
			require.ErrorIs(t, err, test.err)
			require.Len(t, body, test.want)
			require.Equal(t, test.held, account.Held())
		})
	}
}

// endless is a body without end.
type endless struct{}

// Read fills the buffer.
func (endless) Read(buffer []byte) (int, error) {
	return copy(buffer, bytes.Repeat([]byte("x"), len(buffer))), nil
}
