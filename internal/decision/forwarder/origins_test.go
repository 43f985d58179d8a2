package forwarder_test

import (
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/datagram"
)

// sendOriginMessage delivers a message about the origin of a stream, as it is on the wire.
func (c *cluster) sendOriginMessage(from int, send forwarder.SendOriginMessage) {
	encoded, err := datagram.EncodeOriginMessage(send.Message)
	require.NoError(c.t, err)
	c.deliver(from, send.Address, len(encoded), func(to int) {
		received, err := datagram.DecodeOriginMessage(encoded)
		require.NoError(c.t, err)
		c.step(to, forwarder.OriginMessageReceived{Message: received})
	})
}
