package operator

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/provider"
)

// Table is the part of provider.Table that submissions need.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]provider.Row, error)
	Commit(ctx context.Context, tx provider.Transaction) error
}

// Objects is the part of provider.ObjectStore that submissions need.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

const (
	// storeTimeout bounds the time that one call may spend on the platform; clients wait 30 s.
	storeTimeout = 10 * clock.Second
	// resolveTries bounds how often the row is read to find out whether a commit without an answer took effect, with
	// resolvePause between two reads.
	resolveTries = 5
	resolvePause = clock.Second / 2
	// objectTries bounds how often a body is sent to the object store.
	objectTries = 3
	// retryAfter is the time after which clients are asked to retry a call that the platform did not answer, or whose outcome is
	// unknown.
	retryAfter = 5 * clock.Second
)

// VersionFields is the JSON form of a Version.
type VersionFields struct {
	Version   int64  `json:"version"`
	Digest    string `json:"digest"`
	Previous  string `json:"previous-digest"`
	Operation string `json:"operation"`
	Operator  string `json:"operator"`
	Unchanged bool   `json:"unchanged,omitempty"` // the submitted configuration was in force already
}

// Version identifies a stored configuration; the zero value stands for no configuration.
type Version struct{ f VersionFields }

// Fields returns a copy of the values.
func (v Version) Fields() VersionFields { return v.f }

// Number returns the number of the version, counted from 1, or 0 when there is no configuration.
func (v Version) Number() int64 { return v.f.Version }

// Digest returns the digest of the canonical body.
func (v Version) Digest() string { return v.f.Digest }

// Operation returns the operation id of the submission.
func (v Version) Operation() string { return v.f.Operation }

// Operator returns the name of the operator who submitted it.
func (v Version) Operator() string { return v.f.Operator }

// Unchanged reports that the submitted configuration was in force already, so that no new version was made.
func (v Version) Unchanged() bool { return v.f.Unchanged }

func versionOf(s config.Stored) Version {
	return Version{VersionFields{Version: s.Version(), Digest: s.Digest(), Previous: s.Previous(),
		Operation: s.Operation(), Operator: s.Operator()}}
}

// Submission is a request to store a new version.
type Submission struct {
	Operation     string // unique id; a repeat after a lost answer uses the same one
	Operator      string // verified identity
	Seen          int64  // version that the operator saw; 0 for none
	Repeat        bool   // an earlier call under this operation may have taken effect
	Configuration *config.Configuration
}

// Store stores configurations on the platform. The body goes to the object store before the row that names it is
// written, so that no process sees a row without a body.
type Store struct {
	Clock   *clock.Clock
	Table   Table
	Objects Objects
	// Accepted, unless nil, is called with each version that this process has stored.
	Accepted func(stored config.Stored, c *config.Configuration)

	mu     sync.Mutex
	cached *config.Configuration // the configuration last read or written
	digest string
}

// row is the row config/current as it was read.
type row struct {
	version int64         // of the table row; the condition of a write
	stored  config.Stored // zero when the row does not exist
}

// Current returns the version in force and its configuration; a Problem when there is none or it cannot be read.
func (s *Store) Current(ctx context.Context) (Version, *config.Configuration, *Problem) {
	ctx, cancel := s.Clock.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, p := s.read(ctx)
	if p != nil {
		return Version{}, nil, p
	}
	if r.stored.Version() == 0 {
		return Version{}, nil, refuse(CodeNoConfiguration, nil, "the row %s does not exist", config.CurrentKey)
	}
	c, p := s.body(ctx, r.stored.Digest())
	return versionOf(r.stored), c, p
}

// Submit stores a new version on the condition that the version which the operator saw is in force. A Problem has the
// outcome not-run only if the submission certainly had no effect.
func (s *Store) Submit(ctx context.Context, sub Submission) (Version, *Problem) {
	// The client may disconnect at any time; the write continues, and so does finding out whether it took effect.
	ctx, cancel := s.Clock.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	r, p := s.read(ctx)
	if p != nil {
		return Version{}, s.unknownIfRepeat(sub, p)
	}
	digest := config.Digest(sub.Configuration)
	if v, p, decided := decide(sub, digest, r.stored); decided {
		return v, s.addConflict(ctx, sub, r, p)
	}
	var base *config.Configuration
	if sub.Seen > 0 {
		if base, p = s.body(ctx, r.stored.Digest()); p != nil {
			return Version{}, s.unknownIfRepeat(sub, p)
		}
	}
	if r.stored.Digest() == digest {
		v := versionOf(r.stored)
		v.f.Unchanged = true
		return v, nil
	}
	if p := s.putBody(ctx, digest, sub.Configuration); p != nil {
		return Version{}, s.unknownIfRepeat(sub, p)
	}
	next := config.NewStored(config.StoredFields{Version: sub.Seen + 1, Digest: digest, Previous: r.stored.Digest(),
		Operation: sub.Operation, Operator: sub.Operator, Delta: config.NewDelta(base, sub.Configuration)})
	return s.commit(ctx, sub, r, next)
}

// decide derives the result of a submission from the row: the version that it made, or a problem if it was not applied
// or this cannot be known any more. decided is false while the row holds the version seen, so that the submission can still
// be written.
func decide(sub Submission, digest string, stored config.Stored) (v Version, p *Problem, decided bool) {
	figures := map[string]int64{"seen-version": sub.Seen, "current-version": stored.Version()}
	switch {
	case stored.Operation() == sub.Operation && stored.Digest() != digest:
		return Version{}, refuse(CodeOperationReused, figures, "operation %s stored digest %s", sub.Operation,
			stored.Digest()), true
	case stored.Operation() == sub.Operation:
		return versionOf(stored), nil, true
	case stored.Version() == sub.Seen:
		return Version{}, nil, false
	case sub.Repeat && stored.Version() > sub.Seen+1:
		// The version after the one seen is no longer in the row, so its operation cannot be compared.
		return Version{}, refuse(CodeOutcomeUnknown, figures,
			"version %d was seen, version %d is in force, and version %d may be this submission", sub.Seen,
			stored.Version(), sub.Seen+1), true
	}
	// The version after the one seen was written by another operation. A version is written only once, so this
	// submission was not applied.
	return Version{}, refuse(CodeVersionConflict, figures, "version %d was seen and version %d by %q is in force",
		sub.Seen, stored.Version(), stored.Operator()), true
}

// commit writes the row. When the answer is lost, it reads the row to find out whether the write took effect.
func (s *Store) commit(ctx context.Context, sub Submission, r row, next config.Stored) (Version, *Problem) {
	tx := provider.NewTransaction(sub.Operation, provider.Put(config.CurrentKey, next.Encode(), r.version))
	err := s.Table.Commit(ctx, tx)
	switch {
	case err == nil:
		return s.accept(next, sub.Configuration), nil
	case errorx.IsOfType(err, provider.ErrUnavailable):
		return Version{}, s.unknownIfRepeat(sub, unavailable(CodeTableUnavailable, err))
	}
	// After any other error the row is read to find out. After a conflict the row has changed and this write had no effect;
	// after anything else, also an error of an unknown kind, it may have taken effect or may do so later. Repeat makes
	// decide return an unknown outcome where it would otherwise conclude from a later version that there was no effect.
	sub.Repeat = sub.Repeat || !errorx.IsOfType(err, provider.ErrConflict)
	for try := range resolveTries {
		if try > 0 && s.Clock.Sleep(ctx, resolvePause) != nil {
			break
		}
		now, p := s.read(ctx)
		if p != nil {
			continue
		}
		if v, p, decided := decide(sub, next.Digest(), now.stored); decided {
			return v, s.addConflict(ctx, sub, now, p)
		}
		if now.version != r.version {
			break // the row was rewritten with the same version number, so the condition of the transaction cannot hold
		}
		if err = s.Table.Commit(ctx, tx); err == nil {
			return s.accept(next, sub.Configuration), nil
		}
		sub.Repeat = sub.Repeat || !errorx.IsOfType(err, provider.ErrConflict)
	}
	return Version{}, refuse(CodeOutcomeUnknown, map[string]int64{"seen-version": sub.Seen, "tries": resolveTries},
		"the table gave no certain answer: %v", err).withRetryAfter(retryAfter).withOperation(sub.Operation)
}

// addConflict adds to a refusal the version in force and how the submitted configuration differs from it. It returns nil
// if p is nil.
func (s *Store) addConflict(ctx context.Context, sub Submission, r row, p *Problem) *Problem {
	if p == nil {
		return nil
	}
	p = p.withOperation(sub.Operation)
	current := versionOf(r.stored).f
	p.f.Current = &current
	if c, failed := s.body(ctx, r.stored.Digest()); failed == nil {
		p.f.Changes = config.Diff(c, sub.Configuration)
	}
	return p
}

// unknownIfRepeat gives the refusal of a repeat an unknown outcome, because the earlier call may have taken effect.
// Every refusal gets the operation id.
func (s *Store) unknownIfRepeat(sub Submission, p *Problem) *Problem {
	if sub.Repeat && p.f.Outcome != CodeOutcomeUnknown.Outcome() {
		p = refuse(CodeOutcomeUnknown, p.f.Figures, "this repeat was refused: %s", p.Error()).withRetryAfter(retryAfter)
	}
	return p.withOperation(sub.Operation)
}

func (s *Store) read(ctx context.Context) (row, *Problem) {
	rows, err := s.Table.Read(ctx, config.CurrentKey)
	if err != nil || len(rows) != 1 {
		return row{}, unavailable(CodeTableUnavailable, err)
	}
	if rows[0].Version() == 0 {
		return row{}, nil
	}
	stored, err := config.DecodeStored(rows[0].Value())
	if err != nil {
		return row{}, refuse(CodeStateDamaged, nil, "%v", err)
	}
	return row{rows[0].Version(), stored}, nil
}

// body returns the configuration with the digest from the cache or the object store, and nil for the digest "".
func (s *Store) body(ctx context.Context, digest string) (*config.Configuration, *Problem) {
	if digest == "" {
		return nil, nil
	}
	s.mu.Lock()
	cached, hit := s.cached, s.digest == digest
	s.mu.Unlock()
	if hit {
		return cached, nil
	}
	body, err := s.Objects.Get(ctx, config.ObjectName(digest))
	if errorx.IsOfType(err, provider.ErrNotFound) {
		return nil, refuse(CodeStateDamaged, nil, "%v", err)
	}
	if err != nil {
		return nil, unavailable(CodeObjectsUnavailable, err)
	}
	c, faults := config.Decode(config.ObjectName(digest), body)
	if err := faults.Err(); err != nil {
		return nil, refuse(CodeStateDamaged, nil, "%v", err)
	}
	if got := config.Digest(c); got != digest {
		return nil, refuse(CodeStateDamaged, nil, "the object of digest %s has digest %s", digest, got)
	}
	s.cache(digest, c)
	return c, nil
}

// putBody stores the body. A retry after any error is safe, because the same name always stands for the same bytes.
func (s *Store) putBody(ctx context.Context, digest string, c *config.Configuration) *Problem {
	var err error
	for range objectTries {
		if err = s.Objects.Put(ctx, config.ObjectName(digest), config.Encode(c)); err == nil {
			return nil
		}
	}
	return unavailable(CodeObjectsUnavailable, err)
}

// accept caches the configuration of a version that was stored and calls Accepted.
func (s *Store) accept(stored config.Stored, c *config.Configuration) Version {
	s.cache(stored.Digest(), c)
	if s.Accepted != nil {
		s.Accepted(stored, c)
	}
	return versionOf(stored)
}

func (s *Store) cache(digest string, c *config.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digest, s.cached = digest, c
}
