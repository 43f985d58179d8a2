package datagram

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maxExposureRoutes limits the routes of a roll-out that are read.
const maxExposureRoutes = 256

func encodeExposures(d digest.Digest, message *edgev1.Digest) {
	for _, exposure := range d.Exposures {
		encoded := &edgev1.Exposure{
			Order: exposure.Order, AgeMs: int64(exposure.Age), Phase: uint32(exposure.Phase), MovingMs: int64(exposure.MovingFor),
			TargetRequests: exposure.Sums.TargetRequests, AllRequests: exposure.Sums.AllRequests, OldRunning: exposure.Sums.OldRunning,
		}
		for _, route := range slices.Sorted(maps.Keys(exposure.Sums.Routes)) {
			target, old := exposure.Sums.Routes[route].Target, exposure.Sums.Routes[route].Old
			encoded.Routes = append(encoded.Routes, &edgev1.ExposureRoute{
				Route: route, TargetOk: target.OK, TargetFailed: target.Failed, TargetSlow: target.Slow, OldOk: old.OK, OldFailed: old.Failed, OldSlow: old.Slow,
			})
		}
		message.Exposures = append(message.Exposures, encoded)
	}
}

func decodeExposures(d *digest.Digest, message *edgev1.Digest) {
	for _, encoded := range message.GetExposures() {
		sums := digest.ExposureSums{TargetRequests: encoded.GetTargetRequests(), AllRequests: encoded.GetAllRequests(), OldRunning: encoded.GetOldRunning(), Routes: map[uint32]exposurekeeper.Comparison{}}
		for _, route := range encoded.GetRoutes() {
			sums.Routes[route.GetRoute()] = exposurekeeper.Comparison{
				Target: exposurekeeper.Counts{OK: route.GetTargetOk(), Failed: route.GetTargetFailed(), Slow: route.GetTargetSlow()},
				Old:    exposurekeeper.Counts{OK: route.GetOldOk(), Failed: route.GetOldFailed(), Slow: route.GetOldSlow()},
			}
		}
		d.Exposures = append(d.Exposures, digest.Exposure{Order: encoded.GetOrder(), Age: clock.Millis(encoded.GetAgeMs()), Phase: exposurekeeper.Phase(encoded.GetPhase()), MovingFor: clock.Millis(encoded.GetMovingMs()), Sums: sums})
	}
}

func validateExposures(message *edgev1.Digest) error {
	for _, exposure := range message.GetExposures() {
		if exposure.GetAgeMs() < 0 || exposure.GetMovingMs() < 0 || exposure.GetPhase() > uint32(exposurekeeper.Stopped) || len(exposure.GetRoutes()) > maxExposureRoutes {
			return errors.New("datagram.DecodeDigest: the age, the phase or the routes of a roll-out are out of range")
		}
	}
	return nil
}
