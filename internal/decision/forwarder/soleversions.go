package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maxStreamTime is the longest time from the first event of a stream until its caller
// resumes it.
const maxStreamTime = defaultTimeout

// soleVersion is the software version that all listed servers of a service have.
type soleVersion struct {
	version string
	// mixed is set if they have several.
	mixed bool
	// since is the time of the latest change that this instance has seen, or of its first list;
	// 0 if no server can have been listed before.
	since clock.Millis
}

// updateSoleVersions records which services have servers of one software version only.
func (f *Forwarder) updateSoleVersions() {
	listed := map[string]soleVersion{}
	for _, server := range f.servers.All() {
		sole, found := listed[server.Service]
		listed[server.Service] = soleVersion{version: server.SoftwareVersion, mixed: found && (sole.mixed || sole.version != server.SoftwareVersion)}
	}
	for service, sole := range listed {
		before, known := f.soleVersions[service]
		if known && before.mixed == sole.mixed && (sole.mixed || before.version == sole.version) {
			continue
		}
		// Servers of another version may have left just before this instance started.
		if known || !f.settings.FirstStart {
			sole.since = f.now
		}
		f.soleVersions[service] = sole
	}
}

// soleOrigin returns the origin of a stream that its caller does not name. It is known only
// if no other software version of the service was listed while the stream can have begun.
func (f *Forwarder) soleOrigin(service string) (originkeeper.Origin, bool) {
	sole, known := f.soleVersions[service]
	if !known || sole.mixed || (sole.since != 0 && f.now.Since(sole.since) < maxStreamTime) {
		return originkeeper.Origin{}, false
	}
	return originkeeper.Origin{Service: service, SoftwareVersion: sole.version}, true
}
