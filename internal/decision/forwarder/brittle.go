package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
)

// maxBrittle limits the servers of which it is kept whether they are brittle.
const maxBrittle = 2048

// handleBrittleness handles what a server says of the rejections that it bears.
func (f *Forwarder) handleBrittleness(notice ServerNotice) {
	if notice.InvalidBrittle != "" {
		f.log(eventlog.New(eventlog.ServerBrittleInvalid, "").With("server", notice.Server).With("value", notice.InvalidBrittle))
	}
	start := limitsharer.Start{Server: notice.Server, StartedAt: notice.StartedAt}
	if !notice.Brittle.Known || f.brittle[start] == notice.Brittle {
		return
	}
	if len(f.brittle) >= maxBrittle {
		clear(f.brittle)
	}
	f.brittle[start] = notice.Brittle
	f.log(eventlog.New(eventlog.ServerBrittle, "").With("server", notice.Server).With("startedAt", notice.StartedAt).With("rejections", notice.Brittle.Rejections))
}
