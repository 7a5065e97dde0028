package front

import (
	"context"
	"expvar"

	"magnoliaferry/batch"
	"magnoliaferry/result"
	"magnoliaferry/store"
)

// keyRefusals counts the requests that were refused because of their key, by reason: missing, unknown and unconfirmed.
var keyRefusals = expvar.NewMap("key-refusals")

// Access is the permission of one request to use a queue and to see the jobs of a customer there. It holds no key, only the hash of one.
type Access struct {
	queue    *batch.Queue
	customer string // whose jobs the request may see; empty if the queue is public or the site has no customers
	key      batch.KeyHash
	// scoped reports that jobs and tombstones may belong to customers.
	scoped bool
}

// Match returns the permission of a request with the given host, path and key, and the rest of the path after the queue's prefix, or a
// refusal. The key is empty if the request has none. All instances answer in the same order: that there is no such queue, that this instance does
// not know which keys are valid, and that the key is not valid.
func (s *Service) Match(host, path, key string) (*Access, string, *result.Refusal) {
	// The confirmation is read before the configuration, which then is the confirmed one or a newer one.
	confirmed := s.keysConfirmed()
	configuration := s.Configuration()
	if configuration == nil {
		return nil, "", result.Refuse(CodeNotReady, "no configuration was read yet", retryAfter)
	}
	queue, ok := configuration.Match(host, path)
	if !ok {
		return nil, "", result.Refuse(CodeNoQueue, host+path, 0)
	}
	access := &Access{queue: queue, scoped: s.KeysConfirmed != nil || len(configuration.Customers()) > 0}
	if access.needsKey() {
		if key != "" {
			access.key = batch.HashKey(key)
		}
		customer, refusal := findCustomer(configuration, confirmed, access.key)
		if refusal != nil {
			return nil, "", refusal
		}
		access.customer = customer
	}
	return access, path[len(queue.Prefix):], nil
}

// needsKey reports whether requests to the queue need a key.
func (a *Access) needsKey() bool { return a.scoped && !a.queue.Public }

// tombstone returns the id under which the tombstone of a job is stored that the request cancels or submits.
func (a *Access) tombstone(id string) string {
	if !a.scoped {
		return id
	}
	return store.TombstoneID(id, a.customer)
}

func (s *Service) keysConfirmed() bool { return s.KeysConfirmed == nil || s.KeysConfirmed() }

// findCustomer returns the name of the customer that has the key, or a refusal.
func findCustomer(configuration *batch.Configuration, confirmed bool, key batch.KeyHash) (string, *result.Refusal) {
	if !confirmed {
		keyRefusals.Add("unconfirmed", 1)
		return "", result.Refuse(CodeKeysUnconfirmed, "", retryAfter)
	}
	customer, ok := configuration.CustomerOfHash(key)
	if ok {
		return customer.Name, nil
	}
	if key == (batch.KeyHash{}) {
		keyRefusals.Add("missing", 1)
		return "", result.Refuse(CodeNoKey, "the request has no key", 0)
	}
	keyRefusals.Add("unknown", 1)
	return "", result.Refuse(CodeNoKey, "no customer has this key", 0)
}

// recheck returns a refusal if the key of a request that was permitted before has been withdrawn since, or can no longer be confirmed.
func (s *Service) recheck(ctx context.Context, access *Access, id string) *result.Refusal {
	if !access.needsKey() {
		return nil
	}
	confirmed := s.keysConfirmed() // before the configuration, as in Match
	customer, refusal := findCustomer(s.Configuration(), confirmed, access.key)
	if refusal == nil && customer != access.customer {
		refusal = result.Refuse(CodeNoKey, "the key belongs to another customer now", 0)
	}
	if refusal != nil {
		s.logRefusal(ctx, refusal.Code(), id, "")
	}
	return refusal
}

// sees reports whether the request may see, cancel and count the job. Jobs without a customer are those of public queues and of earlier
// versions.
func (s *Service) sees(access *Access, known store.JobEntry) bool {
	switch {
	case !access.scoped || known.Customer != "" && known.Customer == access.customer:
		return true
	case access.queue.Public:
		return s.belongs(known, access.queue)
	}
	// Without the address it is not known whether the job has a customer.
	return known.Customer == "" && known.Address != (batch.Address{}) && s.belongs(known, access.queue)
}

// find returns the entry of a job that the request may see, or of a tombstone that its customer has stored.
func (s *Service) find(access *Access, id string) (store.JobEntry, bool) {
	known, ok := s.States.Find(id)
	if ok && (known.Tombstone || s.sees(access, known)) || !access.scoped {
		return known, ok
	}
	known, ok = s.States.Find(access.tombstone(id))
	return known, ok && known.Tombstone
}

// isForeign reports whether the id has a job that the request may not see.
func (s *Service) isForeign(access *Access, id string) bool {
	known, ok := s.States.Find(id)
	return ok && !known.Tombstone && !s.sees(access, known)
}

// isKnownForeign is isForeign for an entry of which the local copy may not have all rows yet: without its address it is not known whose job it
// is, and only the store shows it.
func (s *Service) isKnownForeign(access *Access, id string) bool {
	known, _ := s.States.Find(id)
	return known.Address != (batch.Address{}) && s.isForeign(access, id)
}

// unusedID returns the conditions that no job has the id, and that the customer has not cancelled it. If they do not hold, the result of the
// transaction shows the rows, including whose job it is.
func unusedID(access *Access, part, id string) []store.Condition {
	conditions := []store.Condition{{Table: store.StateTable, Part: part, Key: store.Key(store.KindJob, id)}}
	if access.scoped {
		conditions = append(conditions, store.Condition{Table: store.StateTable, Part: part, Key: store.Key(store.KindAddress, id)},
			store.Condition{Table: store.StateTable, Part: part, Key: store.Key(store.KindJob, access.tombstone(id))})
	}
	return conditions
}
