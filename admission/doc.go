// Package admission decides which request of a pool is dispatched next and which one is refused. Each pool has one
// Queue. It bounds the number of requests and their waiting time, shares slots between urgency classes by weight and
// between the callers of a class by deficit round robin, and takes no lock while a slot is free and no request waits.
package admission
