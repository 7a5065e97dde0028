// Package entry builds one entry instance from its settings: the interfaces for callers and operators, routing, limits,
// claims, the control loop and the exchange of state with other entry instances.
//
// The configuration in force is the newest accepted version that this entry instance has applied. A request is cut if it is
// cancelled before its answer is complete because the instance stops. An instance is aborted if it is stopped at once: it
// cuts the requests in flight without waiting for them.
package entry
