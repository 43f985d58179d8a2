package linelogger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/linelogger"
)

// blockingBuffer is a buffer whose writes block while mu is locked.
type blockingBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends the bytes.
func (b *blockingBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestLine verifies the JSON fields of a line.
func TestLine(t *testing.T) {
	out := &blockingBuffer{}
	log := linelogger.New(out)
	log.Write(eventlog.New(eventlog.RequestRefused, "r1").With("code", "noServer").With("status", 503))
	log.Close()
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.text.Bytes(), &line))
	delete(line, "time")
	require.Equal(t, map[string]any{"level": "INFO", "msg": "requestRefused", "event": 1002.0, "request": "r1", "code": "noServer", "status": "503"}, line)
}

// TestSlowOutput verifies that Write does not block while the output blocks, and that the
// dropped lines are counted.
func TestSlowOutput(t *testing.T) {
	out := &blockingBuffer{}
	out.mu.Lock()
	log := linelogger.New(out)
	start := time.Now()
	const lines = 5000
	for range lines {
		log.Write(eventlog.New(eventlog.RequestRefused, "r"))
	}
	require.Less(t, time.Since(start), time.Second)
	out.mu.Unlock()
	log.Write(eventlog.New(eventlog.RequestAnswered, "last"))
	require.Eventually(t, func() bool {
		out.mu.Lock()
		defer out.mu.Unlock()
		return strings.Contains(out.text.String(), `"linesDropped"`)
	}, time.Second, time.Millisecond)
	log.Close()
	require.Less(t, strings.Count(out.text.String(), "\n"), lines)
}
