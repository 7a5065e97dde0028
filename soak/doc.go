// Package soak is a fault-injection test. It runs instances of the product as processes on loopback against a simulation of the
// users' platform (package standin), kills, pauses and disconnects them in a random sequence that depends on a seed, and checks
// the product's guarantees from the answers to callers and the orders to workers.
package soak
