package peer

import (
	"context"

	"magnoliaferry/clock"
	"magnoliaferry/peer/peerpb"
)

// Transport carries calls to other entry instances. It never calls done before Call has returned.
type Transport interface {
	// Call runs call with the peer at the address and passes its error to done. It gives up after timeout. fresh asks for
	// a new connection, because an open one may have gone silent.
	Call(address string, fresh bool, timeout clock.Millis, call func(context.Context, peerpb.Peer) error,
		done func(error))
	// Forget closes what is open to an address.
	Forget(address string)
}
