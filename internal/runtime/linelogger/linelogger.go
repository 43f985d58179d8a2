// Package linelogger writes the numbered events of package journal as lines of JSON,
// without ever making its callers wait: lines that the stream does not take in time
// are dropped and counted.
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

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
)

// maxWaiting bounds the entries that wait for the stream.
const maxWaiting = 512

// LineLogger writes log lines. It is safe for concurrent use.
type LineLogger struct {
	entries chan journal.Entry
	log     *slog.Logger
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// New returns a LineLogger that writes to the stream.
func New(stream io.Writer) *LineLogger {
	l := &LineLogger{
		entries: make(chan journal.Entry, maxWaiting),
		log:     slog.New(slog.NewJSONHandler(stream, nil)),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
	}
	go l.run()
	return l
}

// Write takes an entry. It never waits.
func (l *LineLogger) Write(entry journal.Entry) {
	select {
	case l.entries <- entry:
	default:
		l.dropped.Add(1)
	}
}

// Close writes what waits and ends.
func (l *LineLogger) Close() {
	l.once.Do(func() { close(l.stop) })
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

func (l *LineLogger) write(entry journal.Entry) {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.line(journal.New(journal.LinesDropped, "").With("lines", dropped))
	}
	l.line(entry)
}

func (l *LineLogger) line(entry journal.Entry) {
	values := make([]any, 0, 2+len(entry.Fields))
	values = append(values, slog.Int("event", int(entry.Number)))
	if entry.Request != "" {
		values = append(values, slog.String("request", entry.Request))
	}
	for _, field := range entry.Fields {
		values = append(values, slog.String(field.Name, field.Value))
	}
	l.log.Info(entry.Number.String(), values...)
}
