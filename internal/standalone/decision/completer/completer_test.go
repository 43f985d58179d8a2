package completer_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
)

// FuzzDecode verifies that every decoded request is sent to an engine as a stream,
// with the cache salt and the priority of the dispatch, whatever the caller set.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","stream":false,"cache_salt":"stolen","priority":-9}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","model":"n","prompt":"p","n":null}`), true)
	f.Fuzz(func(t *testing.T, body []byte, text bool) {
		kind := completer.KindChat
		if text {
			kind = completer.KindText
		}
		request, err := completer.Decode(kind, body)
		if err != nil {
			return
		}
		require.Positive(t, request.MaxTokens)
		var sent struct {
			Model     string `json:"model"`
			Stream    bool   `json:"stream"`
			CacheSalt string `json:"cache_salt"`
			Priority  int    `json:"priority"`
		}
		encoded := request.EncodeForEngine(completer.DispatchOptions{Salt: "s", Priority: 7, DeliveredText: "so far", DeliveredTokens: 1})
		require.NoError(t, json.Unmarshal(encoded, &sent))
		require.Equal(t, request.Model, sent.Model)
		require.True(t, sent.Stream)
		require.Equal(t, "s", sent.CacheSalt)
		require.Equal(t, 7, sent.Priority)
	})
}
