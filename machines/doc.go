// Package machines decides which machines are taken out for upkeep or moved to another pool, and when. It does no I/O:
// the owner of the machines feeds it the platform's list, the operators' waves and what the owners of pools report, and
// carries out its orders.
package machines
