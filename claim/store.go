package claim

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"magnoliaferry/clock"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

// Defaults of the settings of a Store.
const (
	// DefaultInterval limits each entry instance to 20 transactions a second. That is 180 a second for 9 entry
	// instances; the platform sustains several hundred.
	DefaultInterval = 50 * clock.Millis(1)
	// burst is how many transactions may start without an interval between them after an idle period, so that a single
	// caller does not wait for the interval.
	burst = 4

	DefaultTimeout    = clock.Second
	DefaultMaxBatch   = 256
	DefaultBatchBytes = 1 << 20
	DefaultMaxPending = 2048
	// unfinishedTimeout is how long after its deadline a dispatched request without a call of Finish counts as running.
	unfinishedTimeout = clock.Minute
)

// Store claims the keys of requests in the table. The exported fields are set before Run; zero values select the
// defaults.
type Store struct {
	Clock       *clock.Clock
	Table       provider.Table
	Holder      string // id of the entry instance
	Incarnation int64  // differs for each start of the process

	Interval   clock.Millis // average time between two transactions
	Timeout    clock.Millis // for one access to the table
	MaxBatch   int          // largest number of claims and answers in a transaction
	BatchBytes int          // largest size of the values in a transaction; a single answer may exceed it
	MaxPending int          // largest number of claims kept in memory
	// WallClock returns milliseconds since 1970, for the retention. If it is nil, the system's clock is used.
	WallClock func() clock.Millis
	// HolderRuns asks the holder of a claim whether the request still runs there; see Runs. If it is nil, the
	// outcome of the request counts as unknown.
	HolderRuns func(ctx context.Context, holder string, incarnation int64, caller, key string) bool
	Logger     *slog.Logger // nil: no log

	mu              sync.Mutex
	entries         map[string]*entry // by row key
	queue           []*entry          // entries with something to write, oldest first
	undecidedClaims int               // number of claims in the queue or in the transaction in flight
	breaker         breaker
	sequence        int64 // number of the last operation id
	attempts        int64
	stopped         bool
	wakeOnce        sync.Once
	wakeup          chan struct{}
	due             clock.Millis // start of the next transaction at one per Interval; it may start up to burst-1 intervals earlier
}

// phase is what an entry writes next.
type phase int

const (
	phaseClaim   phase = iota // the claim, conditional on the row version last read
	phaseHeld                 // nothing; the claim is stored
	phaseDone                 // the answer
	phaseAbandon              // the state abandoned: the request was not run
)

// entry is a claim that this store holds or is about to store.
type entry struct {
	rowKey       string
	deadline     clock.Millis
	value        row // the value that is written next
	phase        phase
	version      int64 // version of the row that the next write replaces
	versionKnown bool  // version is valid
	permit       *Permit

	// For a claim that waits for a decision.
	callerLeft bool // the caller no longer waits for the decision
	decided    chan struct{}
	notify     func() // called after decided is closed; may be nil
	decision   Decision
	refusal    *result.Refusal
}

// Claim is ClaimWithFingerprint without a fingerprint.
func (s *Store) Claim(ctx context.Context, caller, key string, deadline clock.Millis) (Decision, error) {
	return s.ClaimWithFingerprint(ctx, caller, key, "", deadline)
}

// ClaimWithFingerprint stores the claim of a key and returns a permit to dispatch, or the recorded answer of an earlier
// attempt. Any error is a *result.Refusal. The fingerprint, for example a digest of method, path and body, identifies
// the request: a claim of the key with a different fingerprint is refused. An empty fingerprint is not compared. The
// deadline is a time of the store's clock.
func (s *Store) ClaimWithFingerprint(ctx context.Context, caller, key, fingerprint string, deadline clock.Millis) (
	Decision, error) {
	e, refusal := s.begin(caller, key, fingerprint, deadline)
	if refusal != nil {
		countRefused.Add(1)
		return Decision{}, refusal
	}
	ctx, cancel := s.Clock.WithTimeout(ctx, deadline-s.Clock.Now())
	defer cancel()
	select {
	case <-e.decided:
	case <-ctx.Done():
	}
	d, holder, refusal := s.end(ctx, e)
	if refusal != nil && refusal.Code() == CodeOutcomeUnknown && holder.Holder != "" && s.HolderRuns != nil &&
		s.HolderRuns(ctx, holder.Holder, holder.Incarnation, caller, key) {
		refusal = result.Refuse(CodeStillRunning, "entry instance "+holder.Holder+" runs it", clock.Second)
	}
	if refusal != nil {
		countRefused.Add(1)
		return Decision{}, refusal
	}
	return d, nil
}

// Pending is a claim that was begun with Begin.
type Pending struct {
	store *Store
	entry *entry
}

// Begin is Claim for a user that must not block. It reports whether the claim is decided already. If not, it calls
// notify once when the decision is made, with the store locked. The user then calls End once, or earlier to stop
// waiting. If the claim is refused at once, Begin returns the refusal, p is nil and End must not be called.
func (s *Store) Begin(caller, key string, deadline clock.Millis, notify func()) (p *Pending, decided bool, refusal *result.Refusal) {
	e, refusal := s.begin(caller, key, "", deadline)
	if refusal != nil {
		return nil, true, refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-e.decided:
		decided = true
	default:
		e.notify = notify
	}
	return &Pending{s, e}, decided, nil
}

// End returns the decision, or abandons the claim and returns a refusal if there is none yet. It does not call
// HolderRuns.
func (p *Pending) End(ctx context.Context) (Decision, *result.Refusal) {
	d, _, refusal := p.store.end(ctx, p.entry)
	return d, refusal
}

// signalDecision wakes the goroutine that waits for the decision, or calls notify.
func (e *entry) signalDecision() {
	close(e.decided)
	if e.notify != nil {
		e.notify()
	}
}

// Finish records the answer of a request that was dispatched. It returns at once; the answer is written in a later
// batch. Permit.Finish does the same and cannot affect the claim of another attempt.
func (s *Store) Finish(caller, key string, answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishHeld(s.entries[rowKey(caller, key)], answer)
}

// Abandon releases the claim of a request that will not be dispatched; the key can then be claimed again. It has no
// effect after the permit was used. An attempt without a permit must not call it, because another attempt may hold the
// key.
func (s *Store) Abandon(caller, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandonHeld(s.entries[rowKey(caller, key)])
}

func (s *Store) finishHeld(e *entry, answer Answer) {
	if e == nil || e.phase != phaseHeld || !e.permit.state.CompareAndSwap(permitUsed, permitFinished) {
		s.logMisuse(e)
		return
	}
	if answer.unknown {
		s.drop(e) // the row stays in the state claimed
		return
	}
	e.value = e.value.withAnswer(answer)
	// The commit of the claim did not return the version of its row, and the answer is written without a condition: no
	// other store writes the row of a stored claim, and a delayed copy of the answer writes the value that is there
	// already.
	e.version, e.versionKnown = provider.AnyVersion, true
	s.enqueue(e, phaseDone)
}

func (s *Store) abandonHeld(e *entry) {
	if e == nil || e.phase != phaseHeld {
		return
	}
	if !e.permit.invalidate() {
		s.logMisuse(e)
		return
	}
	s.abandon(e)
}

func (s *Store) logMisuse(e *entry) {
	key := ""
	if e != nil {
		key = e.rowKey
	}
	eventMisuse.Log(context.Background(), s.Logger, slog.String("key", key))
}

// Runs reports whether this store holds the claim of the key: the request may be running, or its answer is not stored
// yet. Peers call it when the key is claimed again elsewhere.
func (s *Store) Runs(caller, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[rowKey(caller, key)]
	return e != nil && (e.phase == phaseHeld || e.phase == phaseDone)
}

// begin queues a claim or refuses it at once.
func (s *Store) begin(caller, key, fingerprint string, deadline clock.Millis) (*entry, *result.Refusal) {
	now := s.Clock.Now()
	if now >= deadline {
		return nil, result.Refuse(CodeDeadlinePassed, "the deadline passed before the claim", 0)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := rowKey(caller, key)
	if e := s.entries[id]; e != nil {
		return s.answerRepeat(e, fingerprint, now)
	}
	if len(s.entries) >= orDefault(s.MaxPending, DefaultMaxPending) {
		s.dropExpired(now)
	}
	switch {
	case s.stopped:
		return nil, result.Refuse(CodeStopping, "the entry instance takes no new claims", clock.Second)
	case s.breaker.open, s.breaker.limit > 0 && s.undecidedClaims >= s.breaker.limit:
		return nil, result.Refuse(CodeTableUnavailable, "the table did not answer lately", s.breaker.retryAfter(now))
	case len(s.entries) >= orDefault(s.MaxPending, DefaultMaxPending):
		return nil, result.Refuse(CodeTooManyClaims, fmt.Sprintf("%d claims are open", len(s.entries)), clock.Second)
	}
	s.attempts++
	e := &entry{rowKey: id, deadline: deadline, decided: make(chan struct{}), versionKnown: true,
		value: row{State: stateClaimed, Holder: s.Holder, Incarnation: s.Incarnation, Attempt: s.attempts,
			Fingerprint: fingerprint}}
	if s.entries == nil {
		s.entries = make(map[string]*entry)
	}
	s.entries[id] = e
	s.undecidedClaims++
	s.enqueue(e, phaseClaim)
	return e, nil
}

// answerRepeat decides the claim of a key that already has an entry in this store.
func (s *Store) answerRepeat(e *entry, fingerprint string, now clock.Millis) (*entry, *result.Refusal) {
	switch {
	case fingerprintsDiffer(e.value.Fingerprint, fingerprint):
		return nil, result.Refuse(CodeKeyReused, "the key is in use for another request", 0)
	case e.phase == phaseAbandon:
		return nil, result.Refuse(CodeTableUnavailable, "an earlier attempt is being given up",
			s.breaker.retryAfter(now))
	case e.phase != phaseDone:
		return nil, result.Refuse(CodeStillRunning, "this entry instance runs it", clock.Second)
	}
	// The answer is in memory, although it is not stored in the table yet.
	answered := &entry{decided: make(chan struct{}), deadline: e.deadline}
	close(answered.decided)
	answered.decision, answered.refusal = recordedAnswer(e.value)
	return answered, nil
}

// recordedAnswer returns the answer of a row in the state done, or a refusal if the answer was too large to keep.
func recordedAnswer(r row) (Decision, *result.Refusal) {
	if r.NotKept {
		return Decision{}, result.Refuse(CodeAnswerNotKept, fmt.Sprintf("the status was %d", r.Status), 0)
	}
	a := NewAnswer(r.Status, r.Header, r.Body)
	return Decision{answer: &a}, nil
}

// dropExpired removes entries that were neither finished nor abandoned by their deadline, so that they do not fill the
// store. Undispatched ones are abandoned; dispatched ones are removed after unfinishedTimeout.
func (s *Store) dropExpired(now clock.Millis) {
	for _, e := range s.entries {
		if e.phase != phaseHeld || now < e.deadline {
			continue
		}
		if e.permit.invalidate() {
			s.abandon(e)
		} else if now >= e.deadline+unfinishedTimeout {
			s.drop(e) // the row stays in the state claimed
		}
	}
}

// end returns the decision. A claim without one is refused; it was not dispatched, because no permit was issued. With a
// refusal because another attempt holds the key, the returned row is that attempt's and names its holder.
func (s *Store) end(ctx context.Context, e *entry) (Decision, row, *result.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-e.decided:
		if e.permit == nil {
			return e.decision, e.value, e.refusal
		}
		if ctx.Err() == nil {
			return e.decision, row{}, nil
		}
		if e.phase == phaseHeld && e.permit.invalidate() {
			s.abandon(e)
		}
	default:
		e.callerLeft = true
	}
	if s.Clock.Now() >= e.deadline {
		return Decision{}, row{}, result.Refuse(CodeDeadlinePassed, "the claim was not stored in time", 0)
	}
	return Decision{}, row{}, result.Refuse(CodeCallerLeft, "the caller left during the claim", 0)
}

// abandon queues the write of the state abandoned, after which the key can be claimed again.
func (s *Store) abandon(e *entry) {
	e.value.State = stateAbandoned
	s.enqueue(e, phaseAbandon)
}

// enqueue adds an entry to the next batch.
func (s *Store) enqueue(e *entry, p phase) {
	e.phase = p
	s.queue = append(s.queue, e)
	select {
	case s.wakeChannel() <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that receives a value when an entry is added to the queue.
func (s *Store) wakeChannel() chan struct{} {
	s.wakeOnce.Do(func() { s.wakeup = make(chan struct{}, 1) })
	return s.wakeup
}

// drop removes an entry, unless the key has a later one.
func (s *Store) drop(e *entry) {
	if s.entries[e.rowKey] == e {
		delete(s.entries, e.rowKey)
	}
}

// decideWithoutPermit decides a claim that was not stored and removes its entry. The refusal is nil if e.decision holds
// the recorded answer of an earlier attempt.
func (s *Store) decideWithoutPermit(e *entry, refusal *result.Refusal) {
	s.undecidedClaims--
	e.refusal = refusal
	s.drop(e)
	e.signalDecision()
}

// Step writes one batch and returns the time at which the next may start, and whether something waits for it. It is the
// body of the loop in Run, for a user that must not block; the two must not be used together.
func (s *Store) Step(ctx context.Context) (next clock.Millis, waiting bool) {
	s.step(ctx)
	return s.next()
}

// next returns when the next transaction may start, and whether something waits for it.
func (s *Store) next() (at clock.Millis, waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breaker.open {
		return s.breaker.nextProbe, true
	}
	return s.due - (burst-1)*orDefault(s.Interval, DefaultInterval), len(s.queue) > 0
}

// Name returns the name of the module.
func (s *Store) Name() string { return "claim" }

// Run writes batches until the context ends. It then refuses the waiting claims and writes the answers that are queued,
// for at most the timeout of one access.
func (s *Store) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.awaitNext(ctx) {
			break
		}
		s.step(context.WithoutCancel(ctx)) // the shutdown does not cancel a transaction in flight; its timeout ends it
	}
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	last, cancel := s.Clock.WithTimeout(context.WithoutCancel(ctx), orDefault(s.Timeout, DefaultTimeout))
	defer cancel()
	for more := true; more; {
		s.step(last)
		s.mu.Lock()
		more = len(s.queue) > 0 && !s.breaker.open && last.Err() == nil
		s.mu.Unlock()
	}
	return ctx.Err()
}

// awaitNext blocks until the next transaction may start. It returns false at the end of the context.
func (s *Store) awaitNext(ctx context.Context) bool {
	if _, waiting := s.next(); !waiting {
		select {
		case <-s.wakeChannel():
		case <-ctx.Done():
			return false
		}
	}
	at, _ := s.next()
	pause := at - s.Clock.Now()
	return pause <= 0 || s.Clock.Sleep(ctx, pause) == nil
}

// step writes one batch. If the breaker is open, it first probes the table with a read.
func (s *Store) step(ctx context.Context) {
	s.due = max(s.due, s.Clock.Now()) + orDefault(s.Interval, DefaultInterval)
	s.mu.Lock()
	open := s.breaker.open
	s.mu.Unlock()
	if open {
		if _, err := s.read(ctx, keyPrefix+"probe"); err != nil {
			s.openBreaker()
			return
		}
		s.mu.Lock()
		s.breaker.recordProbe()
		s.mu.Unlock()
	}
	if batch := s.nextBatch(); len(batch) > 0 {
		s.write(ctx, batch)
	}
}

// openBreaker opens the breaker and refuses the queued claims, so that they do not wait until their deadline in an
// outage.
func (s *Store) openBreaker() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.breaker.open && s.breaker.limit == 0 {
		eventOpened.Log(context.Background(), s.Logger)
	}
	now := s.Clock.Now()
	s.breaker.recordFailure(now)
	var rest []*entry
	for _, e := range s.queue {
		if e.phase == phaseClaim {
			s.decideWithoutPermit(e, s.unavailableRefusal(now))
		} else {
			rest = append(rest, e)
		}
	}
	s.queue = rest
}

func (s *Store) unavailableRefusal(now clock.Millis) *result.Refusal {
	return result.Refuse(CodeTableUnavailable, "the table did not answer", s.breaker.retryAfter(now))
}

// nextBatch removes the next batch from the queue. Claims whose callers no longer wait are refused without a write.
func (s *Store) nextBatch() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var batch []*entry
	bytes := 0
	for len(s.queue) > 0 && len(batch) < orDefault(s.MaxBatch, DefaultMaxBatch) {
		e := s.queue[0]
		if e.phase == phaseClaim && (e.callerLeft || s.stopped || now >= e.deadline) {
			s.queue = s.queue[1:]
			s.decideWithoutPermit(e, s.unusedClaimRefusal(e, now))
			continue
		}
		if bytes += e.value.size(); bytes > orDefault(s.BatchBytes, DefaultBatchBytes) && len(batch) > 0 {
			break
		}
		s.queue = s.queue[1:]
		batch = append(batch, e)
	}
	return batch
}

// unusedClaimRefusal returns the refusal of a claim that gets no permit because of the shutdown, its deadline, or a
// caller that no longer waits.
func (s *Store) unusedClaimRefusal(e *entry, now clock.Millis) *result.Refusal {
	if s.stopped {
		return result.Refuse(CodeStopping, "the entry instance is shutting down", clock.Second)
	}
	if now >= e.deadline {
		return result.Refuse(CodeDeadlinePassed, "the claim was not stored in time", 0)
	}
	return result.Refuse(CodeCallerLeft, "the caller left during the claim", 0)
}

// maxRounds limits how often a batch is split after conflicts before the rest waits for the next batch, and how often a
// transaction with an unknown outcome is repeated.
const maxRounds = 4

// write stores a batch and decides its entries. Entries with a conflict are decided and removed from the batch.
func (s *Store) write(ctx context.Context, batch []*entry) {
	for range maxRounds {
		batch = s.readUnknownVersions(ctx, batch)
		if len(batch) == 0 {
			return
		}
		operation, tx := s.transaction(batch)
		err := s.commit(ctx, tx)
		switch {
		case err == nil:
			s.markApplied(batch)
			return
		case platformConflict(err):
			countConflicts.Add(1)
			s.invalidateVersions(batch)
			continue
		case platformUnavailable(err):
			s.handleUnavailable(batch)
			return
		}
		if done := s.resolveOutcome(ctx, batch, operation, tx); done {
			return
		}
	}
	s.mu.Lock()
	s.queue = append(batch, s.queue...)
	s.mu.Unlock()
}

// readUnknownVersions reads the rows whose version is unknown and returns the batch without the entries that they
// decide.
func (s *Store) readUnknownVersions(ctx context.Context, batch []*entry) []*entry {
	var keys []string
	for _, e := range batch {
		if !e.versionKnown {
			keys = append(keys, e.rowKey)
		}
	}
	if len(keys) == 0 {
		return batch
	}
	rows, err := s.read(ctx, keys...)
	if err != nil {
		s.handleUnavailable(batch)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := 0
	var rest []*entry
	for _, e := range batch {
		if !e.versionKnown {
			r := rows[next]
			next++
			if s.compareWithRow(e, r) {
				continue
			}
			e.version, e.versionKnown = r.Version(), true
		}
		rest = append(rest, e)
	}
	return rest
}

// compareWithRow compares an entry with its row. It reports true if that decides the entry and nothing is left to
// write.
func (s *Store) compareWithRow(e *entry, r provider.Row) bool {
	found, err := decodeRow(r.Value())
	free := r.Version() == 0 || (err == nil && found.State == stateAbandoned)
	own := err == nil && found.State == stateClaimed && found.sameAttempt(e.value)
	if e.phase != phaseClaim {
		// An abandonment. It is also written if the claim, whose outcome was unknown, is not in the table, because the
		// changed version makes a delayed copy of the claim fail.
		if own || free {
			return false
		}
		s.drop(e) // another attempt holds the key
		return true
	}
	if free {
		return false
	}
	switch {
	case err != nil:
		s.decideWithoutPermit(e, result.Refuse(CodeOutcomeUnknown, "the row of the claim cannot be read", 0))
	case fingerprintsDiffer(found.Fingerprint, e.value.Fingerprint):
		s.decideWithoutPermit(e, result.Refuse(CodeKeyReused, "the key was used for another request", 0))
	case found.State == stateDone:
		d, refusal := recordedAnswer(found)
		e.decision = d
		s.decideWithoutPermit(e, refusal)
	default:
		e.value = found // contains the holder
		s.decideWithoutPermit(e, result.Refuse(CodeOutcomeUnknown, "entry instance "+found.Holder+" held the claim", clock.Second))
	}
	return true
}

func (s *Store) transaction(batch []*entry) (string, provider.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	operation := fmt.Sprintf("claim/%s/%d/%d", s.Holder, s.Incarnation, s.sequence)
	writes := make([]provider.Write, 0, len(batch))
	for _, e := range batch {
		e.value.Written = s.wallClock()
		writes = append(writes, provider.Put(e.rowKey, e.value.encode(), e.version))
	}
	return operation, provider.NewTransaction(operation, writes...)
}

// resolveOutcome determines whether a transaction with an unknown outcome was applied, and handles the batch
// accordingly. It reports false if the transaction was not applied and can no longer be, so that the batch has to be
// written in a new one.
func (s *Store) resolveOutcome(ctx context.Context, batch []*entry, operation string, tx provider.Transaction) bool {
	keys := make([]string, len(batch))
	for i, e := range batch {
		keys[i] = e.rowKey
	}
	for range maxRounds {
		rows, err := s.read(ctx, keys...)
		if err != nil {
			break
		}
		// One row with the operation id proves that all rows were written. If there is none, no row was: no other store
		// overwrites a row that is done or claimed by this holder, and an abandonment may be written again.
		written, changed := false, false
		for i, r := range rows {
			written = written || r.Operation() == operation
			condition := tx.Writes()[i].IfVersion()
			changed = changed || (condition != provider.AnyVersion && condition != r.Version())
		}
		if written {
			s.markApplied(batch)
			return true
		}
		if changed {
			s.invalidateVersions(batch)
			return false
		}
		// The transaction has not been applied, but a delayed copy may still arrive. The same transaction is repeated,
		// so that only one of the two can be applied and both have the same operation id.
		err = s.commit(ctx, tx)
		if err == nil {
			s.markApplied(batch)
			return true
		}
	}
	s.handleUnknownOutcome(batch)
	return true
}

// invalidateVersions marks the row versions of a batch as unknown, except for answers, which are written without a
// condition.
func (s *Store) invalidateVersions(batch []*entry) {
	for _, e := range batch {
		e.versionKnown = e.phase == phaseDone
	}
}

// markApplied handles a batch that was stored. It issues the permits of the claims. A claim whose deadline has passed,
// whose caller no longer waits, or that was stored during the shutdown, is refused and abandoned.
func (s *Store) markApplied(batch []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, e := range batch {
		if e.phase != phaseClaim {
			countAnswers.Add(1)
			s.drop(e)
			continue
		}
		countStored.Add(1)
		s.undecidedClaims--
		e.versionKnown = false // the commit does not return the new version
		if e.callerLeft || now >= e.deadline || s.stopped {
			e.refusal = s.unusedClaimRefusal(e, now)
			e.signalDecision()
			s.abandon(e)
			continue
		}
		e.phase = phaseHeld
		e.permit = &Permit{store: s, entry: e}
		e.decision = Decision{permit: e.permit}
		e.signalDecision()
	}
	if s.breaker.recordSuccess(orDefault(s.MaxPending, DefaultMaxPending)) {
		eventLimitLifted.Log(context.Background(), s.Logger)
	}
}

// handleUnavailable handles a batch that was not stored: claims are refused, and the rest is queued again.
func (s *Store) handleUnavailable(batch []*entry) {
	s.openBreaker()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []*entry
	for _, e := range batch {
		if e.phase == phaseClaim {
			s.decideWithoutPermit(e, s.unavailableRefusal(s.Clock.Now()))
			continue
		}
		rest = append(rest, e)
	}
	s.invalidateVersions(rest)
	s.queue = append(rest, s.queue...)
}

// handleUnknownOutcome handles a batch that may or may not have been stored. Its claims are refused as not run, because
// they were not dispatched, and are abandoned in the table as soon as it answers.
func (s *Store) handleUnknownOutcome(batch []*entry) {
	countOutcomeUnknown.Add(1)
	s.openBreaker()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []*entry
	for _, e := range batch {
		if e.phase == phaseClaim {
			s.undecidedClaims--
			e.refusal = s.unavailableRefusal(s.Clock.Now())
			e.signalDecision()
			e.value.State = stateAbandoned
			e.phase = phaseAbandon
		}
		rest = append(rest, e)
	}
	s.invalidateVersions(rest)
	s.queue = append(rest, s.queue...)
}

func (s *Store) read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	ctx, cancel := s.Clock.WithTimeout(ctx, orDefault(s.Timeout, DefaultTimeout))
	defer cancel()
	rows, err := s.Table.Read(ctx, keys...)
	if err == nil && len(rows) != len(keys) {
		return nil, errors.New("the table returned a different number of rows than the number of keys read")
	}
	return rows, err
}

func (s *Store) commit(ctx context.Context, tx provider.Transaction) error {
	ctx, cancel := s.Clock.WithTimeout(ctx, orDefault(s.Timeout, DefaultTimeout))
	defer cancel()
	countTransactions.Add(1)
	return s.Table.Commit(ctx, tx)
}

func (s *Store) wallClock() clock.Millis {
	if s.WallClock != nil {
		return s.WallClock()
	}
	return clock.Millis(time.Now().UnixMilli())
}

// fingerprintsDiffer reports whether two fingerprints belong to different requests; an empty one matches any request.
func fingerprintsDiffer(a, b string) bool { return a != "" && b != "" && a != b }

// orDefault returns the setting, or the default if it is 0.
func orDefault[T int | clock.Millis](setting, standard T) T {
	if setting == 0 {
		return standard
	}
	return setting
}
