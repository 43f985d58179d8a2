package forwarder_test

import (
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// earlierBuild has the times from which an instance of a build without observed ages counts the ages of
// published weights: from when it learned of a version, or earlier if a digest states a higher age.
type earlierBuild map[int64]clock.Millis

// hear records the versions that the instance knows.
func (e earlierBuild) hear(now clock.Millis, instance *forwarder.Forwarder) {
	ages, bounds := instance.WeightsAges(now)
	for _, known := range []map[string]map[int64]clock.Millis{ages, bounds} {
		for version := range known[model] {
			if _, heard := e[version]; !heard {
				e[version] = now
			}
		}
	}
}

// receive records the ages that a digest states.
func (e earlierBuild) receive(t require.TestingT, now clock.Millis, encoded []byte) {
	for _, published := range decodeDigest(t, encoded).GetPublishedWeights() {
		at := now.Add(-clock.Millis(published.GetAgeMs()))
		if heard, ok := e[published.GetVersion()]; !ok || at < heard {
			e[published.GetVersion()] = at
		}
	}
}

// restate returns the digest as the earlier build would send it.
func (e earlierBuild) restate(t require.TestingT, now clock.Millis, encoded []byte) []byte {
	message := decodeDigest(t, encoded)
	message.PublishedWeights, message.BoundedWeights, message.ObservedWeights, message.UnobservedWeights = nil, nil, nil, nil
	for version, heardAt := range e {
		message.PublishedWeights = append(message.PublishedWeights, &edgev1.PublishedWeights{Model: model, Version: version, AgeMs: int64(now.Since(heardAt))})
	}
	encoded, err := proto.Marshal(message)
	require.NoError(t, err)
	return encoded
}

func decodeDigest(t require.TestingT, encoded []byte) *edgev1.Digest {
	message := &edgev1.Digest{}
	require.NoError(t, proto.Unmarshal(encoded, message))
	return message
}
