// Package admission decides which request of a pool is served next and which one is refused. One Queue serves one
// pool; it is bounded in length and in waiting time, shares slots between urgency classes by weight and between the
// callers of a class by deficit round robin, and takes no lock while nobody waits and a slot is free.
package admission
