// Package soak runs instances of the product as processes on loopback against stand-ins of the users' platform, kills,
// pauses and cuts them off by a drawn plan, and checks from what callers and workers see that the promises hold.
package soak
