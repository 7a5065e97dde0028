package fleet

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"magnoliaferry/clock"
	"magnoliaferry/config"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
	"magnoliaferry/result"
)

// configurationKey is the row of the accepted configuration; planned work is conditional on its version.
const configurationKey = "config/current"

// apply carries out the steps of one pool; records holds the records that the plan was computed from. Consecutive steps
// of the same kind and target in the same zone share a transaction, up to instanceBatch steps.
func (l *Loop) apply(ctx context.Context, configuration *config.Configuration, steps []planner.Step,
	records map[string]planner.RecordFields) error {
	for start := 0; start < len(steps); {
		first := steps[start]
		end := start + 1
		if first.Instance() != "" && first.Kind() != planner.KindWait {
			zone := records[first.Instance()].Zone
			for end < len(steps) && end-start < instanceBatch && steps[end].Kind() == first.Kind() &&
				steps[end].Target() == first.Target() && records[steps[end].Instance()].Zone == zone {
				end++
			}
		}
		group := steps[start:end]
		start = end
		var err error
		switch first.Kind() {
		case planner.KindWait:
			eventWait.Log(ctx, l.Logger, slog.String("pool", first.Pool()), slog.String("instance", first.Instance()),
				slog.String("reason", first.Reason()))
		case planner.KindStartWave, planner.KindStopWave, planner.KindFinishWave:
			err = l.applyWave(ctx, first)
		default:
			err = l.applyGroup(ctx, configuration, group, records)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// applyWave writes the new state of a wave. A conflict means that an operator has changed the wave since it was read;
// that change stays.
func (l *Loop) applyWave(ctx context.Context, step planner.Step) error {
	l.mu.Lock()
	w := l.waves[step.Pool()]
	l.mu.Unlock()
	switch step.Kind() {
	case planner.KindStartWave:
		wall := l.Wall()
		w.fields = planner.WaveFields{ID: newWaveID(step.Pool(), wall), Pool: step.Pool(), State: planner.WaveRunning,
			Started: wall, Resumed: wall, By: l.Holder}
	case planner.KindStopWave:
		w.fields.State = planner.WaveStopped
	case planner.KindFinishWave:
		w.fields.State = planner.WaveDone
	}
	w.fields.Reason = step.Reason()
	err := l.writeWave(ctx, w)
	if errorx.IsOfType(err, provider.ErrConflict) {
		return nil
	}
	return err
}

func (l *Loop) writeWave(ctx context.Context, w wave) error {
	key := wavePrefix + w.fields.Pool
	return l.commit(ctx, provider.NewTransaction(uuid.NewString(), provider.Put(key, encode(w.fields), w.version)),
		provider.NewRow(key, nil, w.version, ""))
}

// applyGroup carries out steps of one kind on instances of one zone in one transaction.
func (l *Loop) applyGroup(ctx context.Context, configuration *config.Configuration, group []planner.Step,
	records map[string]planner.RecordFields) error {
	first := group[0]
	byID := make(map[string]planner.Step, len(group))
	t := transition{zone: records[first.Instance()].Zone, pools: []string{first.Pool()}}
	for _, s := range group {
		byID[s.Instance()] = s
		t.instances = append(t.instances, s.Instance())
	}
	if first.Kind() == planner.KindMove {
		t.pools = append(t.pools, first.Target())
	}
	l.mu.Lock()
	w := l.waves[first.Pool()]
	l.mu.Unlock()
	if first.Kind() == planner.KindDrain && first.Target() == "" {
		t.checks = append(t.checks, provider.Check(wavePrefix+first.Pool(), w.version)) // fails if an operator has paused or changed the wave
	}
	if first.Kind() == planner.KindDrain {
		checks, err := l.configurationCheck(ctx)
		if errorx.IsOfType(err, provider.ErrConflict) {
			return nil // the new configuration comes into force here within seconds
		}
		if err != nil {
			return err
		}
		t.checks = append(t.checks, checks...)
	}
	t.decide = func(r planner.RecordFields, budgets map[string]*budgetRow) (planner.RecordFields, *result.Refusal) {
		step := byID[r.ID]
		planned := records[r.ID]
		if step.Kind() == planner.KindJoin {
			if r.Phase != "" {
				return r, result.Refuse(LostRace, fmt.Sprintf("instance %s already belongs to pool %s", r.ID, r.Pool), 0)
			}
			r = planned
		} else if r != planned {
			return r, result.Refuse(LostRace, fmt.Sprintf("instance %s changed since it was planned: it is %s in pool %s", r.ID, r.Phase, r.Pool), 0)
		}
		if step.Kind() == planner.KindDrain {
			if refusal := checkBudget(configuration, step.Pool(), budgets[step.Pool()]); refusal != nil {
				return r, refusal
			}
		}
		return recordAfterStep(step, r, w.fields, l.Wall()), nil
	}
	done, refused, err := l.transition(ctx, t)
	l.Assignments.addWritten(done)
	for _, r := range done {
		s := byID[r.ID]
		eventStep.Log(ctx, l.Logger, slog.String("step", string(s.Kind())), slog.String("pool", s.Pool()),
			slog.String("instance", r.ID), slog.String("target", s.Target()), slog.String("reason", s.Reason()))
	}
	for id, refusal := range refused {
		eventStepSkipped.Log(ctx, l.Logger, slog.String("step", string(first.Kind())), slog.String("instance", id),
			slog.String("reason", refusal.Error()))
	}
	if errorx.IsOfType(err, provider.ErrConflict) {
		return nil // the next pass plans on the new state
	}
	return err
}

// configurationCheck returns the condition that the accepted configuration is unchanged at the commit, or no condition
// if ConfigurationVersion is nil. It returns ErrConflict when the table already holds a newer version than
// the one that is in force here.
func (l *Loop) configurationCheck(ctx context.Context) ([]provider.Write, error) {
	if l.ConfigurationVersion == nil {
		return nil, nil
	}
	rows, err := l.Platform.Table().Read(ctx, configurationKey)
	if err != nil {
		return nil, err
	}
	stored := config.Stored{}
	if rows[0].Version() > 0 {
		if stored, err = config.DecodeStored(rows[0].Value()); err != nil {
			return nil, err
		}
	}
	if inForce := l.ConfigurationVersion(); stored.Version() > inForce {
		return nil, provider.ErrConflict.New("version %d of the configuration is accepted, and version %d is in force here",
			stored.Version(), inForce)
	}
	return []provider.Write{provider.Check(configurationKey, rows[0].Version())}, nil
}

// checkBudget returns a refusal if taking one more instance out of service would exceed the availability budget of
// the pool or leave it below its capacity, see section 9.2 of docs/design.md. The transaction is conditional on the
// budget row.
func checkBudget(configuration *config.Configuration, pool string, b *budgetRow) *result.Refusal {
	p, declared := configuration.Pool(pool)
	if !declared {
		return nil // the pool was removed from the configuration and has no guarantees
	}
	detail := fmt.Sprintf("pool %s: %d of at most %d out, %d serving, capacity %d", pool, b.used(), p.MaxUnavailable(),
		b.serving(), p.Capacity())
	if b.used()+1 > p.MaxUnavailable() {
		return result.Refuse(BudgetExhausted, detail, clock.Minute).WithContact(p.Contact())
	}
	if b.serving()-1 < p.Capacity() {
		return result.Refuse(CapacityReached, detail, clock.Minute).WithContact(p.Contact())
	}
	return nil
}

// recordAfterStep returns the record of an instance after a step. Since never decreases and is not before the start of
// the wave that drains the instance. Otherwise differing clocks of the writers could set Maintained, which is taken from
// Since, to a time before that start.
func recordAfterStep(step planner.Step, r planner.RecordFields, w planner.WaveFields, wall clock.Millis) planner.RecordFields {
	r.Since = max(wall, r.Since)
	r.Reason = step.Reason()
	switch step.Kind() {
	case planner.KindJoin:
		r.Pool, r.Phase, r.Joining, r.Maintained = step.Pool(), planner.Verifying, true, r.Since
	case planner.KindDrain:
		r.Phase, r.Target = planner.Draining, step.Target()
		if step.Target() == "" {
			r.Wave, r.Since = w.ID, max(r.Since, w.Started)
		}
		if step.Loan() {
			r.Home = r.Pool
		}
	case planner.KindReboot:
		r.Phase = planner.Rebooting
	case planner.KindVerify:
		r.Phase = planner.Verifying
	case planner.KindReturn:
		if r.From != planner.Serving && r.From != planner.Draining {
			r.Maintained = r.Since // not after a failure while serving or draining, which is no maintenance
		}
		r.Phase, r.From, r.Joining, r.Force, r.Reason = planner.Serving, "", false, false, ""
	case planner.KindCancelDrain:
		r = cancelMove(r)
		r.Phase, r.Wave, r.Force = planner.Serving, "", false
	case planner.KindMove:
		r.Phase, r.Joining, r.Pool, r.Target = planner.Moving, true, step.Target(), ""
		if r.Home == r.Pool {
			r.Home = ""
		}
	case planner.KindFail:
		if r.From == "" {
			r.From = r.Phase
		}
		r = cancelMove(r)
		r.Phase, r.Force = planner.Failed, false
	case planner.KindDeleteRecord:
		r.Pool, r.Phase = "", ""
	}
	return r
}

// cancelMove cancels the move or loan of an instance that has not left its pool yet. Home is kept if the instance is on
// loan from another pool.
func cancelMove(r planner.RecordFields) planner.RecordFields {
	r.Target = ""
	if r.Home == r.Pool {
		r.Home = ""
	}
	return r
}

// transition is one transaction on instances of one zone, the budgets of their pools and the changes row of the zone,
// which holds the most recent changes of its instances.
type transition struct {
	zone      string
	instances []string
	pools     []string
	checks    []provider.Write
	// decide returns the next record of an instance, or a refusal. It is given a record without a phase for an
	// instance that has no row; returning one deletes the row.
	decide func(r planner.RecordFields, budgets map[string]*budgetRow) (planner.RecordFields, *result.Refusal)
}

// transition reads the rows, decides on them and writes on condition that none has changed. A conflict is retried on
// the new rows, because loops of other pools write the same changes row.
func (l *Loop) transition(ctx context.Context, t transition) (done []planner.RecordFields,
	refused map[string]*result.Refusal, err error) {
	for range 3 {
		done, refused, err = l.tryTransition(ctx, t)
		if !errorx.IsOfType(err, provider.ErrConflict) {
			break
		}
	}
	return done, refused, err
}

func (l *Loop) tryTransition(ctx context.Context, t transition) (done []planner.RecordFields,
	refused map[string]*result.Refusal, err error) {
	keys := []string{changesPrefix + t.zone}
	for _, pool := range t.pools {
		keys = append(keys, budgetPrefix+pool)
	}
	for _, id := range t.instances {
		keys = append(keys, instancePrefix+id)
	}
	rows, err := l.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return nil, nil, err
	}
	var changes changesRow
	if err := decode(rows[0], &changes); err != nil {
		return nil, nil, err
	}
	budgets := map[string]*budgetRow{}
	for i, pool := range t.pools {
		budgets[pool] = &budgetRow{}
		if err := decode(rows[1+i], budgets[pool]); err != nil {
			return nil, nil, err
		}
	}
	var writes []provider.Write
	refused = map[string]*result.Refusal{}
	for i, id := range t.instances {
		row := rows[1+len(t.pools)+i]
		before := planner.RecordFields{ID: id}
		if err := decode(row, &before); err != nil {
			return nil, nil, err
		}
		after, refusal := t.decide(before, budgets)
		if refusal != nil {
			refused[id] = refusal
			continue
		}
		for pool, b := range budgets {
			b.update(pool, before, after)
		}
		changes.add(l.Wall(), after)
		if after.Phase == "" {
			writes = append(writes, provider.Delete(row.Key(), row.Version()))
		} else {
			writes = append(writes, provider.Put(row.Key(), encode(after), row.Version()))
		}
		done = append(done, after)
	}
	if len(writes) == 0 {
		return nil, refused, nil
	}
	// The changes row comes first because it exists after every commit, so that commit can look up the operation id
	// in it.
	all := []provider.Write{provider.Put(rows[0].Key(), encode(changes), rows[0].Version())}
	for i, pool := range t.pools {
		all = append(all, provider.Put(rows[1+i].Key(), encode(budgets[pool]), rows[1+i].Version()))
	}
	all = append(append(all, writes...), t.checks...)
	if err := l.commit(ctx, provider.NewTransaction(uuid.NewString(), all...), rows[0]); err != nil {
		return nil, nil, err
	}
	return done, refused, nil
}
