package linelogger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/linelogger"
)

// stream is a stream that can be held up.
type stream struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write takes bytes.
func (s *stream) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestLine(t *testing.T) {
	out := &stream{}
	log := linelogger.New(out)
	log.Write(journal.New(journal.RequestRefused, "r1").With("code", "noServer").With("status", 503))
	log.Close()
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.text.Bytes(), &line))
	delete(line, "time")
	require.Equal(t, map[string]any{"level": "INFO", "msg": "requestRefused", "event": 1002.0, "request": "r1", "code": "noServer", "status": "503"}, line)
}

// TestSlowStream holds that writing never waits for the stream, and that the lines lost
// are counted.
func TestSlowStream(t *testing.T) {
	out := &stream{}
	out.mu.Lock()
	log := linelogger.New(out)
	began := time.Now()
	const lines = 5000
	for range lines {
		log.Write(journal.New(journal.RequestRefused, "r"))
	}
	require.Less(t, time.Since(began), time.Second)
	out.mu.Unlock()
	log.Write(journal.New(journal.RequestAnswered, "last"))
	require.Eventually(t, func() bool {
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Contains(out.text.String(), `"linesDropped"`)
	}, time.Second, time.Millisecond)
	log.Close()
	require.Less(t, strings.Count(out.text.String(), "\n"), lines)
}
