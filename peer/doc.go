// Package peer lets entry instances work together over twirp: membership, the spreading of configuration versions, the
// roster of the own zone and loans of slots. A Node is a state machine driven by timers and calls; it blocks nowhere, so
// that tests run many nodes on one fake clock.
package peer
