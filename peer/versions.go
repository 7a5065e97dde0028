package peer

import (
	"bytes"
	"fmt"

	"magnoliaferry/peer/peerpb"
)

const (
	// keptDeltas is how many deltas a process keeps for peers that missed versions.
	keptDeltas = 32
	// maxDelta bounds one delta in bytes; a longer one is replaced by the whole body. A usual delta has about 400
	// bytes.
	maxDelta = 32 << 10
	// maxDeltas bounds the deltas of one answer in bytes. Longer deltas are replaced by the body, which is then shorter
	// or not much longer.
	maxDeltas = 128 << 10
	// maxBody bounds the body of a configuration in bytes; at the target size a body has about 100 KB.
	maxBody = 2 << 20
	// digestPrefixBytes is how many bytes of the digest a probe carries: enough to detect two bodies with the same
	// version.
	digestPrefixBytes = 4
)

// Codec decodes configurations and the row config/current; the package config provides it.
type Codec interface {
	// Current decodes the row: the version, the digest of its body, and the delta from the previous version, which may
	// be empty.
	Current(row []byte) (version int64, digest string, delta []byte, err error)
	// Apply returns the body that results from a delta.
	Apply(body, delta []byte) ([]byte, error)
	// Digest returns the digest of a body.
	Digest(body []byte) string
}

// Version is one version of the configuration.
type Version struct {
	number int64
	digest string
	body   []byte
}

// Number returns the version number, 0 for no configuration.
func (v Version) Number() int64 { return v.number }

// Digest returns the digest of the body.
func (v Version) Digest() string { return v.digest }

// Body returns the encoded configuration, which must not be changed.
func (v Version) Body() []byte { return v.body }

// versions holds the configuration in force and the last deltas, without I/O; the node's lock guards it.
type versions struct {
	codec   Codec
	current Version
	deltas  []*peerpb.Delta // consecutive; the last one leads to the current version
}

// applyDelta puts the next version in force if the delta applies to the current version and produces the expected
// digest.
func (v *versions) applyDelta(d *peerpb.Delta) error {
	if d.GetVersion() != v.current.number+1 || v.current.number == 0 {
		return fmt.Errorf("the delta to version %d does not apply to version %d", d.GetVersion(), v.current.number)
	}
	if len(d.GetDelta()) == 0 {
		return fmt.Errorf("version %d has no delta", d.GetVersion())
	}
	body, err := v.codec.Apply(v.current.body, d.GetDelta())
	if err != nil {
		return fmt.Errorf("apply the delta to version %d: %w", d.GetVersion(), err)
	}
	if got := v.codec.Digest(body); got != d.GetDigest() {
		return fmt.Errorf("the delta to version %d leads to digest %q, not %q", d.GetVersion(), got, d.GetDigest())
	}
	v.current = Version{d.GetVersion(), d.GetDigest(), body}
	v.deltas = append(v.deltas, d)
	if len(v.deltas) > keptDeltas {
		v.deltas = append([]*peerpb.Delta(nil), v.deltas[len(v.deltas)-keptDeltas:]...)
	}
	return nil
}

// replace puts a whole body in force if its version is newer and its digest is the given one.
func (v *versions) replace(number int64, digest string, body []byte) error {
	if number <= v.current.number {
		return fmt.Errorf("version %d is not newer than version %d", number, v.current.number)
	}
	if len(body) == 0 || len(body) > maxBody {
		return fmt.Errorf("the body of version %d has %d bytes, not 1 to %d", number, len(body), maxBody)
	}
	if got := v.codec.Digest(body); got != digest {
		return fmt.Errorf("the body of version %d has digest %q, not %q", number, got, digest)
	}
	v.current, v.deltas = Version{number, digest, bytes.Clone(body)}, nil
	return nil
}

// lastDelta returns the delta that produced the current version. It contains no changes if the current version was
// received as a whole body.
func (v *versions) lastDelta() *peerpb.Delta {
	if len(v.deltas) > 0 {
		return v.deltas[len(v.deltas)-1]
	}
	return &peerpb.Delta{Version: v.current.number, Digest: v.current.digest}
}

// answerFor returns what a process with the given version needs to reach the current one.
func (v *versions) answerFor(number int64) *peerpb.FetchAnswer {
	answer := &peerpb.FetchAnswer{Version: v.current.number, Digest: v.current.digest}
	missing := v.current.number - number
	if missing <= 0 {
		return answer
	}
	if number > 0 && missing <= int64(len(v.deltas)) {
		size := 0
		for _, d := range v.deltas[int64(len(v.deltas))-missing:] {
			size += len(d.GetDelta())
			answer.Deltas = append(answer.Deltas, d)
		}
		if size <= maxDeltas {
			return answer
		}
		answer.Deltas = nil
	}
	answer.Body = v.current.body
	return answer
}

func (v *versions) digestPrefix() []byte {
	return []byte(v.current.digest[:min(digestPrefixBytes, len(v.current.digest))])
}
