package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/versionassigner"
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
	// 0 if no server can have been listed before. changed reports whether it has seen one.
	since   clock.Millis
	changed bool
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
		sole.changed = known
		// Servers of another version may have left just before this instance started.
		if known || !f.settings.FirstStart {
			sole.since = f.now
		}
		f.soleVersions[service] = sole
	}
}

// soleOrigin returns the origin of a stream that its caller does not name, as far as this
// instance has seen: no other software version of the service was listed while the stream can
// have begun. It may not have seen one that was.
func (f *Forwarder) soleOrigin(service string) (originkeeper.Origin, bool) {
	sole, known := f.soleVersions[service]
	origin := originkeeper.Origin{Service: service, SoftwareVersion: sole.version}
	if !known || (sole.since != 0 && f.now.Since(sole.since) < maxStreamTime) || f.contradicts(origin) {
		return originkeeper.Origin{}, false
	}
	return origin, true
}

// contradicts reports whether this instance has seen that streams of the service may have begun
// at another software version.
func (f *Forwarder) contradicts(origin originkeeper.Origin) bool {
	view, assigned := f.assignments[origin.Service]
	if assigned && !f.namesOnly(view.Record, f.now.Since(view.since), origin.SoftwareVersion) {
		return true
	}
	sole, known := f.soleVersions[origin.Service]
	return known && (sole.mixed || sole.version != origin.SoftwareVersion || (sole.changed && f.now.Since(sole.since) < maxStreamTime))
}

// namesOnly reports whether a record of the age names no other version for streams that callers may
// still resume.
func (f *Forwarder) namesOnly(record versionassigner.Record, age clock.Millis, version string) bool {
	if record.Settled() && age >= max(maxStreamTime, f.streamLifetime) {
		// Its exceptions began before it was written.
		record = record.WithoutExceptions()
	}
	return record.NamesOnly(version)
}

// presumedOrigin returns the origin that was presumed when the lookup began, if this instance
// still presumes it and more than half of the instances that were asked, with this one, have
// agreed and none has contradicted.
func (f *Forwarder) presumedOrigin(lookup *originLookup) (originkeeper.Origin, bool) {
	origin, known := f.soleOrigin(lookup.presumed.Service)
	agreed := f.havePeers && 2*(len(lookup.agreed)+1) > len(lookup.asked)+1
	return origin, known && origin == lookup.presumed && agreed && !lookup.contradicted
}
