package standin

import (
	"fmt"
	"math/rand/v2"

	"magnoliaferry/batch"
)

// deadAddress is an address at which nothing listens.
const deadAddress = "127.0.0.1:9"

// laterStart is how much later an odd entry says that a worker has started, in milliseconds.
const laterStart = 5000

// LeaveOddEntry writes an entry among those of the workers that none of them has written: it claims the machine or the id of one, or cannot be
// read. It returns a description and a function that ends it, after which a worker whose entry it replaced has its own again.
func (f *Fleet) LeaveOddEntry(random *rand.Rand) (what string, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, other := f.machines[random.IntN(len(f.machines))], f.machines[random.IntN(len(f.machines))]
	if m.incarnation == nil || other.incarnation == nil || m == other {
		return "", func() {}
	}
	odd := *m
	odd.incarnation = &fleetIncarnation{id: m.incarnation.id, number: m.incarnation.number + laterStart}
	switch random.IntN(8) {
	case 0:
		what, odd.incarnation.id, odd.address, odd.capacity = "of a new worker on the machine", "agent-"+m.id, deadAddress, batch.Resources{CPU: 100}
	case 1:
		what, odd.incarnation.id = "of a new worker on the machine, at its worker's address", "agent-"+m.id
	case 2:
		what, odd.labels = "of the worker, started later as another kind", nil
	case 3:
		what, odd.address = "of the worker, started later at another address", deadAddress
	case 4:
		what, odd.address, odd.incarnation.number = "of the worker, without a start", deadAddress, 0
	case 5:
		what, odd.pool = "of the worker, started later in the pool of another one", other.pool
	case 6:
		what, odd.id = "of the worker, on the machine of another one", other.id
		odd.incarnation.number = m.incarnation.number
	default:
		id := m.incarnation.id
		f.Table.Put(tableWorkers, id, []byte("{"))
		return fmt.Sprintf("%s: unreadable", id), func() { f.restoreEntry(m, id) }
	}
	f.writeEntry(&odd)
	return fmt.Sprintf("%s: %s", odd.incarnation.id, what), func() { f.restoreEntry(m, odd.incarnation.id) }
}

// restoreEntry writes the entry of the worker on the machine again, or removes the entry with the id if that is not its own.
func (f *Fleet) restoreEntry(m *fleetMachine, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.incarnation != nil && m.incarnation.id == id {
		f.writeEntry(m)
		return
	}
	f.Table.Delete(tableWorkers, id)
}
