// Package peer lets entry instances work together over twirp: membership, the spreading of configuration versions, the
// roster of the own zone and loans of slots. A Node is a state machine driven by timers and calls; it blocks nowhere, so
// that tests run many nodes on one fake clock.
//
// An entry instance runs three parts that share the Node:
//
//	node := &peer.Node{ID: "e1", Address: "10.0.0.1:7001", Zone: "a", Incarnation: start, Clock: clock.System(),
//		Transport: &peer.HTTP{TLS: client, Clock: clock.System()}, Codec: codec, Table: p.Table(), Objects: p.Objects(),
//		Apply: apply, Rosters: rosters, Ledger: ledger, Loans: loans}
//	port := &peer.Server{Address: node.Address, TLS: server, Node: node, Clock: clock.System()}
//	kernel.Kernel{Modules: []kernel.Module{port, node}}
//
// The port starts first and refuses calls until the Node runs. The request path asks Node.Usable before it takes a slot;
// the operators' server calls Node.Accepted after it has stored a version.
package peer
