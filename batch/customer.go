package batch

import (
	"crypto/sha256"
	"crypto/subtle"
)

// Customer is one of those whose callers hand in jobs with a key. Customers share the workers of all pools.
type Customer struct {
	Name   string
	Keys   []KeyHash
	Weight float64   // of its share when not all customers can be served; also the jobs per second that it is entitled to
	Cap    Resources // bounds what its tasks use on all workers of all pools; 0 means no limit
}

// KeyHash is the hash of a customer's key; the keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// SetCustomers sets the customers. It is called before the configuration is used.
func (c *Configuration) SetCustomers(customers []Customer) {
	c.customers = customers
	c.byName, c.byKey = make(map[string]*Customer, len(customers)), map[KeyHash]*Customer{}
	for i := range customers {
		customer := &customers[i]
		c.byName[customer.Name] = customer
		for _, key := range customer.Keys {
			c.byKey[key] = customer
		}
	}
}

// Customers returns the customers; none if callers need no keys. The result must not be changed.
func (c *Configuration) Customers() []Customer { return c.customers }

// Customer returns the customer with the given name.
func (c *Configuration) Customer(name string) (*Customer, bool) {
	customer, ok := c.byName[name]
	return customer, ok
}

// CustomerOfKey returns the customer that has the key.
func (c *Configuration) CustomerOfKey(key string) (*Customer, bool) {
	return c.CustomerOfHash(HashKey(key))
}

// CustomerOfHash returns the customer that has the key with the hash.
func (c *Configuration) CustomerOfHash(hash KeyHash) (*Customer, bool) {
	customer, ok := c.byKey[hash]
	if !ok {
		return nil, false
	}
	for i := range customer.Keys {
		if subtle.ConstantTimeCompare(customer.Keys[i][:], hash[:]) == 1 {
			return customer, true
		}
	}
	return nil, false
}
