// Package peerpb holds the generated messages, client and server of the protocol between entry instances; make generate
// writes it from peer.proto.
package peerpb
