package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sort"
	"sync"

	"magnoliaferry/clock"
	"magnoliaferry/planner"
	"magnoliaferry/provider"
)

const (
	pollPeriod = clock.Second
	// listAllPeriod is the time between two reads of the platform's list for all zones; other polls list the own zone.
	listAllPeriod = 10 * clock.Second
	// scanLimit is the maximum number of rows in one page of a scan.
	scanLimit = 500
)

// Assignment is the pool, place and phase of one listed instance, as routing uses them.
type Assignment struct {
	instance, address, zone, pool string
	phase                         planner.Phase
	leaving                       bool
}

// Instance returns the id of the instance.
func (a Assignment) Instance() string { return a.instance }

// Address returns the IP address and port.
func (a Assignment) Address() string { return a.address }

// Zone returns the availability zone.
func (a Assignment) Zone() string { return a.zone }

// Pool returns the pool that the instance belongs to.
func (a Assignment) Pool() string { return a.pool }

// Phase returns the phase of the instance; only a serving one may receive new work.
func (a Assignment) Phase() planner.Phase { return a.phase }

// Leaving reports whether the platform's list says that the instance is leaving; it may receive no new work.
func (a Assignment) Leaving() bool { return a.leaving }

// Assignments tracks which pool each instance belongs to. A poll reads one changes row for each zone; all instance
// rows are read only at the start and after missed changes.
type Assignments struct {
	Clock    *clock.Clock
	Platform provider.Platform
	Zone     string          // of this process; the instances of this zone are listed at every poll
	Zones    func() []string // further zones to track, for example those of the configuration; may be nil
	// RemotePeriod is the period between reads of the changes of other zones; 0 means every poll. With 33 zones,
	// reading all of them each second exceeds the limit of 3 KB/s for a process; reading them every 10 s does not.
	RemotePeriod clock.Millis
	Logger       *slog.Logger

	pollMu          sync.Mutex // held during a poll: routing, the control loop and operators' actions all poll
	mu              sync.Mutex
	sequences       map[string]int64 // number of the newest change that was applied, by zone
	rowVersions     map[string]int64 // of the changes rows applied last, by zone
	entries         map[string]instanceEntry
	listed          map[string]provider.Instance
	allListedAt     clock.Millis            // when the platform's list was last read for all zones
	firstListedAt   map[string]clock.Millis // by id of the listed instances
	remotePolledAt  clock.Millis            // when the changes of all zones were last read
	completePollAt  clock.Millis            // start of the last poll that read every zone
	hasCompletePoll bool                    // completePollAt is set
	hasList         bool                    // allListedAt is set
	current         []Assignment            // rebuilt by Current when currentValid is false
	currentValid    bool
	sortedIDs       []string // ids of all instances in planner's order, so that a pass need not sort them again
	sortedIDsValid  bool
}

type instanceEntry struct {
	record      planner.RecordFields
	phaseSeenAt clock.Millis // when this process first saw the phase
}

// Name implements kernel.Module.
func (a *Assignments) Name() string { return "assignments" }

// Run polls once a second until the context ends. After a failed poll the known state is kept.
func (a *Assignments) Run(ctx context.Context) error {
	for {
		_ = a.Poll(ctx) // the control loop reports an outage; routing continues on the known state
		if err := a.Clock.Sleep(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

// Poll reads the platform's list and the changes of the own zone, every RemotePeriod those of all zones, and all
// instance rows if changes were missed. It returns an error if the platform does not answer or a row cannot be decoded.
func (a *Assignments) Poll(ctx context.Context) error {
	a.pollMu.Lock()
	defer a.pollMu.Unlock()
	started := a.Clock.Now()
	if err := a.pollList(ctx); err != nil {
		return err
	}
	zones := a.zonesToPoll()
	keys := make([]string, len(zones))
	for i, zone := range zones {
		keys[i] = changesPrefix + zone
	}
	rows, err := a.Platform.Table().Read(ctx, keys...)
	if err != nil {
		return err
	}
	complete := true
	for i, row := range rows {
		ok, err := a.apply(zones[i], row)
		if err != nil {
			return err
		}
		complete = complete && ok
	}
	if complete {
		a.recordPoll(started, len(zones))
		return nil
	}
	if all := a.zones(); len(all) != len(zones) { // a scan resets the sequence numbers of all zones
		zones, keys = all, nil
		for _, zone := range all {
			keys = append(keys, changesPrefix+zone)
		}
		if rows, err = a.Platform.Table().Read(ctx, keys...); err != nil {
			return err
		}
	}
	if err := a.scan(ctx, zones, rows); err != nil {
		return err
	}
	a.recordPoll(started, len(zones))
	return nil
}

// recordPoll records the start of a poll if the number of zones that it read is the number of all zones.
func (a *Assignments) recordPoll(started clock.Millis, zones int) {
	all := len(a.zones())
	a.mu.Lock()
	defer a.mu.Unlock()
	if zones == all {
		a.completePollAt, a.hasCompletePoll = started, true
	}
}

// Age returns the time since the start of the last poll that read every zone, or -1 if there was none.
func (a *Assignments) Age() clock.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasCompletePoll {
		return -1
	}
	return a.Clock.Now() - a.completePollAt
}

// zonesToPoll returns the zones whose changes this poll reads.
func (a *Assignments) zonesToPoll() []string {
	zones := a.zones()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if _, tracked := a.sequences[a.Zone]; tracked && now-a.remotePolledAt < a.RemotePeriod {
		return []string{a.Zone}
	}
	a.remotePolledAt = now
	return zones
}

// addWritten applies records that this process has just written; the changes row of the zone repeats them later.
func (a *Assignments) addWritten(records []planner.RecordFields) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		a.setRecord(r)
	}
}

// Apply applies a row changes/<zone> that the caller has read; false means that changes were missed, so that Poll has
// to read all instance rows.
func (a *Assignments) Apply(zone string, row provider.Row) (complete bool, err error) {
	a.pollMu.Lock()
	defer a.pollMu.Unlock()
	return a.apply(zone, row)
}

func (a *Assignments) apply(zone string, row provider.Row) (complete bool, err error) {
	a.mu.Lock()
	knownSequence, tracked := a.sequences[zone]
	unchanged := tracked && row.Version() > 0 && a.rowVersions[zone] == row.Version()
	a.mu.Unlock()
	if !tracked {
		return false, nil
	}
	if unchanged {
		return true, nil // decoding unchanged rows took half of the CPU time of a pass over 50 workers
	}
	var changes changesRow
	if err := decode(row, &changes); err != nil {
		return false, err
	}
	if changes.Sequence < knownSequence {
		return true, nil // the row was read before a poll that has finished since
	}
	missed, ok := changes.since(knownSequence)
	if !ok {
		return false, nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range missed {
		a.setRecord(c.Record)
	}
	a.sequences[zone] = changes.Sequence
	if a.rowVersions == nil {
		a.rowVersions = map[string]int64{}
	}
	a.rowVersions[zone] = row.Version()
	return true, nil
}

// setRecord applies one record; the caller holds a.mu.
func (a *Assignments) setRecord(r planner.RecordFields) {
	a.currentValid = false
	before, known := a.entries[r.ID]
	if r.Phase == "" {
		delete(a.entries, r.ID)
		a.sortedIDsValid = false
		return
	}
	if before.record.Pool != r.Pool {
		a.sortedIDsValid = false
	}
	e := instanceEntry{r, a.Clock.Now()}
	if known && before.record.Phase == r.Phase && before.record.Since == r.Since {
		e.phaseSeenAt = before.phaseSeenAt
	}
	a.entries[r.ID] = e
}

// scan reads every instance row and sets the sequence numbers from rows, the changes rows of the zones, which were read
// before it. The next poll therefore applies the changes made during the scan once more, the newest last.
func (a *Assignments) scan(ctx context.Context, zones []string, rows []provider.Row) error {
	eventScan.Log(ctx, a.Logger)
	records := map[string]planner.RecordFields{}
	for after := ""; ; {
		page, err := a.Platform.Table().Scan(ctx, instancePrefix, after, scanLimit)
		if err != nil {
			return err
		}
		for _, row := range page {
			var r planner.RecordFields
			if err := decode(row, &r); err != nil {
				return err
			}
			records[r.ID] = r
			after = row.Key()
		}
		if len(page) < scanLimit {
			break
		}
	}
	sequences := map[string]int64{}
	for i, row := range rows {
		var changes changesRow
		if err := decode(row, &changes); err != nil {
			return err
		}
		sequences[zones[i]] = changes.Sequence
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries == nil {
		a.entries = map[string]instanceEntry{}
	}
	for id := range a.entries {
		if _, exists := records[id]; !exists {
			delete(a.entries, id)
			a.sortedIDsValid = false
		}
	}
	for _, r := range records {
		a.setRecord(r)
	}
	a.sequences = sequences
	return nil
}

// pollList reads the platform's list: the own zone, or all zones if listAllPeriod has passed.
func (a *Assignments) pollList(ctx context.Context) error {
	now := a.Clock.Now()
	a.mu.Lock()
	zone := a.Zone
	if !a.hasList || now-a.allListedAt >= listAllPeriod {
		zone = ""
	}
	a.mu.Unlock()
	list, err := a.Platform.Instances().List(ctx, zone)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listed == nil {
		a.listed, a.firstListedAt = map[string]provider.Instance{}, map[string]clock.Millis{}
	}
	present := make(map[string]bool, len(list))
	for _, i := range list {
		present[i.ID()] = true
		if _, known := a.firstListedAt[i.ID()]; !known {
			a.firstListedAt[i.ID()] = now
		}
		if a.listed[i.ID()] != i {
			a.listed[i.ID()], a.currentValid, a.sortedIDsValid = i, false, false
		}
	}
	for id, i := range a.listed {
		if !present[id] && (zone == "" || i.Zone() == zone) {
			delete(a.listed, id)
			delete(a.firstListedAt, id)
			a.currentValid, a.sortedIDsValid = false, false
		}
	}
	if zone == "" {
		a.allListedAt, a.hasList, a.sortedIDsValid = now, true, false
	}
	return nil
}

// zones returns the zones of the platform's list, of the records and of the configuration.
func (a *Assignments) zones() []string {
	all := map[string]bool{}
	if a.Zone != "" {
		all[a.Zone] = true
	}
	if a.Zones != nil {
		for _, zone := range a.Zones() {
			all[zone] = true
		}
	}
	a.mu.Lock()
	for _, i := range a.listed {
		all[i.Zone()] = true
	}
	for zone := range a.sequences {
		all[zone] = true
	}
	a.mu.Unlock()
	zones := make([]string, 0, len(all))
	for zone := range all {
		zones = append(zones, zone)
	}
	sort.Strings(zones)
	return zones
}

// Current returns the listed instances that belong to a pool, sorted by id. The slice must not be changed.
func (a *Assignments) Current() []Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.currentValid {
		return a.current
	}
	current := make([]Assignment, 0, len(a.entries))
	for id, e := range a.entries {
		if i, listed := a.listed[id]; listed {
			current = append(current, Assignment{instance: id, address: i.Address(), zone: i.Zone(), pool: e.record.Pool,
				phase: e.record.Phase, leaving: i.State() == provider.Leaving})
		}
	}
	sort.Slice(current, func(i, j int) bool { return current[i].instance < current[j].instance })
	a.current, a.currentValid = current, true
	return current
}

// instances returns the input of planner in planner's order: every record, and every listed worker without one.
func (a *Assignments) instances(healthy func(string) bool) []planner.InstanceFields {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	all := make([]planner.InstanceFields, 0, len(a.sortedIDs))
	add := func(id string) {
		e, known := a.entries[id]
		i, listed := a.listed[id]
		if !known && (!listed || i.Role() != provider.RoleWorker) {
			return
		}
		// New instances of the own zone are listed earlier than those of other zones. They join only after a list of
		// all zones, because a pool would otherwise get workers only from the zone of the process that plans it.
		if !known && a.firstListedAt[id] > a.allListedAt {
			return
		}
		m := planner.InstanceFields{RecordFields: e.record, Age: now - e.phaseSeenAt, Listed: listed,
			Leaving: listed && i.State() == provider.Leaving, Healthy: listed && (healthy == nil || healthy(id))}
		if !known {
			m.RecordFields, m.Age = planner.RecordFields{ID: id, Zone: i.Zone(), Rack: i.Rack()}, 0
		}
		all = append(all, m)
	}
	if a.sortedIDsValid {
		for _, id := range a.sortedIDs {
			add(id)
		}
		return all
	}
	for id := range a.entries {
		add(id)
	}
	for id := range a.listed {
		if _, known := a.entries[id]; !known {
			add(id)
		}
	}
	slices.SortFunc(all, planner.Compare)
	a.sortedIDs, a.sortedIDsValid = make([]string, len(all)), true
	for i := range all {
		a.sortedIDs[i] = all[i].ID
	}
	return all
}
