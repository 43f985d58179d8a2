// Package logger writes the entries of package eventlog as lines in logfmt.
//
// # Usage
//
//	log := logger.New(os.Stderr)
//	log.Write(entry)
package logger

import (
	"io"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
)

// Logger writes log lines. It is safe for concurrent use.
type Logger struct {
	log *log.Logger
}

// New returns a Logger that writes to w.
func New(w io.Writer) *Logger {
	options := log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter}
	return &Logger{log: log.NewWithOptions(w, options)}
}

// Write writes the entry as one line.
func (l *Logger) Write(entry eventlog.Entry) {
	values := make([]any, 0, 4+2*len(entry.Fields))
	values = append(values, "event", int(entry.Number))
	if entry.Request != "" {
		values = append(values, "request", entry.Request)
	}
	for _, field := range entry.Fields {
		values = append(values, field.Name, field.Value)
	}
	l.log.Info(entry.Number.String(), values...)
}
