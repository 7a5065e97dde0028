package peer

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

// Transport sends calls to other entry instances. It never calls done before Call has returned.
type Transport interface {
	// Call runs call with a client for the peer at the address and passes its error to done. The call is cancelled
	// after timeout. fresh requests a new connection, because an open one may have gone silent.
	Call(address string, fresh bool, timeout clock.Millis, call func(context.Context, peerpb.Peer) error,
		done func(error))
	// Forget closes the idle connections to an address and releases its client.
	Forget(address string)
}
