package forwarder_test

import (
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/keepermessage"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/datagram"
)

// sendDigest delivers a digest to its recipients, as it is on the wire.
func (c *cluster) sendDigest(from int, send forwarder.SendDigest) {
	encoded, err := datagram.EncodeDigest(send.Digest)
	require.NoError(c.t, err)
	if earlier, ok := c.earlierBuilds[from]; ok {
		earlier.hear(c.now, c.instances[from])
		encoded = earlier.restate(c.t, c.now, encoded)
	}
	for _, recipient := range send.Recipients {
		withEcho, err := datagram.AppendEcho(encoded, recipient.Echo)
		require.NoError(c.t, err)
		c.deliver(from, recipient.Address, len(withEcho), func(to int) {
			if earlier, ok := c.earlierBuilds[to]; ok {
				earlier.receive(c.t, c.now, withEcho)
			}
			received, err := datagram.DecodeDigest(withEcho)
			require.NoError(c.t, err)
			c.step(to, forwarder.DigestReceived{Digest: received})
		})
	}
}

// sendToKeeper delivers a message to or from a keeper, as it is on the wire.
func (c *cluster) sendToKeeper(from int, send forwarder.SendToKeeper) {
	if send.Message.Kind == keepermessage.Reply && c.changeReply != nil && !c.changeReply(&send.Message) {
		return
	}
	encoded, err := datagram.EncodeKeeperMessage(send.Message)
	require.NoError(c.t, err)
	c.deliver(from, send.Address, len(encoded), func(to int) {
		received, err := datagram.DecodeKeeperMessage(encoded)
		require.NoError(c.t, err)
		c.step(to, forwarder.KeeperMessageReceived{Message: received})
	})
}

// deliver counts a datagram and delivers it to the instance at the address, unless a cut
// separates the two.
func (c *cluster) deliver(from int, address string, bytes int, receive func(to int)) {
	sender := c.traffic[from]
	sender.sent, sender.sentBytes = sender.sent+1, sender.sentBytes+bytes
	c.traffic[from] = sender
	if c.lossPercent > 0 && c.faultRandom.IntN(100) < c.lossPercent {
		return
	}
	to := c.instanceAt(address)
	if to < 0 || (c.cut != nil && c.cut(from, to)) {
		return
	}
	receiver := c.traffic[to]
	receiver.received, receiver.receivedBytes = receiver.received+1, receiver.receivedBytes+bytes
	c.traffic[to] = receiver
	c.after(2, func() { receive(to) })
}

// instanceAt returns the instance with the peer address; -1 if there is none.
func (c *cluster) instanceAt(address string) int {
	return slices.IndexFunc(c.settings, func(settings instancesettings.Settings) bool { return settings.PeerAddress == address })
}
