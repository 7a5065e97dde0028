// Package peer is the protocol between entry instances, over twirp: the member list, the distribution of configuration
// versions, the roster of the own zone and loans of slots. A Node is a state machine driven by timers and calls. It never
// blocks, so tests can run many nodes on one fake clock.
//
// The package uses these terms:
//
//   - The member list contains all entry instances that a node knows of. Nodes keep it up to date with probes, which
//     also exchange updates of the list (a gossip protocol with suspicion, as in SWIM).
//   - The incarnation is a number that distinguishes processes with the same id. A process raises it to override a report
//     that it is suspected or failed.
//   - A relay is a member that probes a third member on request, when the requester gets no answer from that member. If
//     the third member answers, the relay sends the requester a Vouch.
//   - The roster is the row roster/<zone> with the members of a zone that share its slots; see the package slots, which
//     also defines share and loan.
//   - The instance changes are the table rows changes/<zone> with the records of instances changed last. The node does
//     not read them; it reports to the other members how long ago its entry instance last read all of them.
//
// An entry instance runs the following parts:
//
//	node := &peer.Node{ID: "e1", Address: "10.0.0.1:7001", Zone: "a", Incarnation: start, Clock: clock.System(),
//		Transport: &peer.HTTP{TLS: client, Clock: clock.System()}, Codec: codec, Table: p.Table(), Objects: p.Objects(),
//		Apply: apply, Rosters: rosters, Ledger: ledger, Loans: loans}
//	port := &peer.Server{Address: node.Address, TLS: server, Node: node, Clock: clock.System()}
//	kernel.Kernel{Modules: []kernel.Module{port, node}}
//
// The port starts first and refuses calls until the Node runs. A request takes a slot only if Node.Usable returns true.
// The operators' server calls Node.Accepted after it has stored a version.
package peer
