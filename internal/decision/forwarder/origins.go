package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
)

// streamOriginOf returns the origin of the streams that begin at the server.
func streamOriginOf(server registry.Server) originkeeper.Origin {
	return originkeeper.Origin{Service: server.Service, SoftwareVersion: server.SoftwareVersion}
}

// originOf returns the origin of the streams that begin at the server with the identifier.
func (f *Forwarder) originOf(id string) originkeeper.Origin {
	server, _ := f.servers.Server(id)
	return streamOriginOf(server)
}

// mayRunAt reports whether the stream may begin or go on at the server.
func (fl *flight) mayRunAt(server registry.Server) bool {
	return !fl.hasOrigin || fl.origin == streamOriginOf(server)
}

// recordOrigin records that the caller receives an event of the current attempt.
func (f *Forwarder) recordOrigin(fl *flight) {
	fl.partDelivered = true
	if !fl.hasOrigin {
		fl.origin, fl.hasOrigin = fl.attemptOrigin, true
	}
}
