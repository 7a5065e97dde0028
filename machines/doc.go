// Package machines decides which machines are withdrawn from their pools for maintenance or moved to another pool, and when. It
// does no I/O: the instance that owns the machines passes in the platform's list, the operators' waves and the reports of the
// owners of pools, stores the transactions and sends the orders to the platform.
package machines
