package store

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"magnoliaferry/batch"
)

// The values of a row of KindCancel. Earlier versions ignore them.
const (
	cancelJob       = `{}`
	cancelTombstone = `{"tombstone":true}`
)

// EncodeCancel returns the row with the request to cancel a job of the pool, in the intake part of the job. With tombstone set, there is no such job, and EncodeTombstone
// keeps it from being stored.
func EncodeCancel(part, pool, id string, tombstone bool) Row {
	value := cancelJob
	if tombstone {
		value = cancelTombstone
	}
	return Row{Table: JobsTable(pool), Part: part, Key: Key(KindCancel, id), Value: []byte(value)}
}

// IsTombstoneCancel reports whether the row is one that EncodeCancel returns for a tombstone.
func IsTombstoneCancel(row Row) bool {
	var decoded struct {
		Tombstone bool `json:"tombstone"`
	}
	return json.Unmarshal(row.Value, &decoded) == nil && decoded.Tombstone // any other value requests to cancel a job
}

// EncodeTombstone returns the row of StateTable, in the intake part, for an id that was cancelled while no job with it was stored. A write that stores such a job
// requires that the row does not exist, so that it fails even if the store carries it out later. The value is that of a cancelled job
// without a queue: instances of earlier versions remove it like that of any ended job.
func EncodeTombstone(part, id, pool string) Row {
	return EncodeState(part, id, "", pool, batch.Cancelled)
}

// TombstoneID returns the id under which the tombstones of a customer are stored for the id of a job, so that they rule out the jobs of this
// customer only. The name is hashed, as the length of a key is limited. Callers cannot name such an id.
func TombstoneID(id, customer string) string {
	const hashBytes = 8
	hash := sha256.Sum256([]byte(customer))
	return id + "/" + hex.EncodeToString(hash[:hashBytes])
}
