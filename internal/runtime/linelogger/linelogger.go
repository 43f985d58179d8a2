// Package linelogger writes the numbered events of package eventlog as lines of JSON. It
// never blocks its callers: when the output is too slow and the queue is full, lines are
// dropped and counted.
//
// # Usage
//
//	log := linelogger.New(os.Stdout)
//	log.Write(entry)
//	defer log.Close()
package linelogger

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
)

// maxQueued is the maximum number of entries in the queue.
const maxQueued = 512

// LineLogger writes log lines in the background. It is safe for concurrent use.
type LineLogger struct {
	entries   chan eventlog.Entry
	log       *slog.Logger
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}
}

// New returns a LineLogger that writes to the output.
func New(output io.Writer) *LineLogger {
	l := &LineLogger{
		entries: make(chan eventlog.Entry, maxQueued),
		log:     slog.New(slog.NewJSONHandler(output, nil)),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
	}
	go l.run()
	return l
}

// Write queues an entry. It never blocks.
func (l *LineLogger) Write(entry eventlog.Entry) {
	select {
	case l.entries <- entry:
	default:
		l.dropped.Add(1)
	}
}

// Close writes the queued entries and stops the LineLogger.
func (l *LineLogger) Close() {
	l.closeOnce.Do(func() { close(l.stop) })
	<-l.done
}

func (l *LineLogger) run() {
	defer close(l.done)
	for {
		select {
		case entry := <-l.entries:
			l.write(entry)
		case <-l.stop:
			l.drain()
			return
		}
	}
}

func (l *LineLogger) drain() {
	for {
		select {
		case entry := <-l.entries:
			l.write(entry)
		default:
			return
		}
	}
}

func (l *LineLogger) write(entry eventlog.Entry) {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.writeLine(eventlog.New(eventlog.LinesDropped, "").With("lines", dropped))
	}
	l.writeLine(entry)
}

func (l *LineLogger) writeLine(entry eventlog.Entry) {
	attrs := make([]any, 0, 2+len(entry.Fields))
	attrs = append(attrs, slog.Int("event", int(entry.Number)))
	if entry.Request != "" {
		attrs = append(attrs, slog.String("request", entry.Request))
	}
	for _, field := range entry.Fields {
		attrs = append(attrs, slog.String(field.Name, field.Value))
	}
	l.log.Info(entry.Number.String(), attrs...)
}
