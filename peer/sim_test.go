package peer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/platformhttp"
	"magnoliaferry/provider"
)

// cluster runs nodes on one fake clock, with a network and a platform whose faults the tests control. All of it runs in
// one goroutine, so a seed determines all results.
type cluster struct {
	t        testing.TB
	clock    *clock.Clock
	random   *rand.Rand
	faults   *fault.Injector
	store    *memory.Store
	codec    fakeCodec
	nodes    map[string]*simNode // by address
	order    []*simNode          // in the order in which they were added, without replaced ones
	zones    int
	net      *Network
	latency  clock.Millis // of a call of the table, each way
	stale    bool         // reads return the rows before their last write
	previous map[string]provider.Row
	latest   map[string]provider.Row
	written  int64 // number of the newest configuration version
}

type simNode struct {
	*Node
	w       *cluster
	paused  bool
	killed  bool
	delayed []func()       // calls to run when the pause ends
	applied []int64        // numbers of the versions that Apply was called with
	rows    []provider.Row // arguments of the calls of SetRoster
	state   string         // of the ledger: none, in use or suspended
	link    *Link
	table   int // bytes sent and received for calls of the table
	cached  map[string]provider.Row
	commits []string         // operation ids of the commits
	removed map[string]int64 // by id: the highest incarnation that was seen as failed or left
}

func newCluster(t testing.TB, seed uint64, zones int) *cluster {
	c := clock.NewFake(1_000_000)
	w := &cluster{t: t, clock: c, random: rand.New(rand.NewPCG(seed, 1)), faults: &fault.Injector{}, zones: zones,
		nodes: map[string]*simNode{}, latency: 5, net: NewNetwork(c, seed),
		previous: map[string]provider.Row{}, latest: map[string]provider.Row{}, codec: fakeCodec{padding: 300, bodyBytes: 3000}}
	w.store = memory.New(c, w.faults)
	return w
}

func (w *cluster) zone(i int) string { return fmt.Sprintf("z%02d", i%w.zones) }

// add starts a node, which replaces an earlier one with the same address. Its seeds are the first three addresses.
func (w *cluster) add(i int, incarnation int64) *simNode {
	s := &simNode{w: w, removed: map[string]int64{}, cached: map[string]provider.Row{}, state: "none"}
	s.Node = &Node{ID: fmt.Sprintf("e%03d", i), Address: address(i), Zone: w.zone(i), Incarnation: incarnation,
		Seeds: []string{address(0), address(1), address(2)}, Random: w.random.Uint64(), Clock: w.clock,
		Codec: w.codec, Table: simTable{w.store.View(w.zone(i)).Table(), s},
		Objects: w.store.View(w.zone(i)).Objects(), Rosters: fakeRosters{}, Ledger: s,
		after: func(d clock.Millis, f func()) { w.clock.AfterFunc(d, s.guard(f)) }}
	s.Apply = s.apply
	s.link = w.net.Attach(s.Address, s.Zone, s.Node, s.guard)
	s.Transport = s.link
	s.Background = func(work, done func()) {
		w.clock.AfterFunc(w.latency, func() {
			work()
			w.clock.AfterFunc(w.latency, s.guard(done))
		})
	}
	if old := w.nodes[s.Address]; old != nil {
		old.killed = true
		old.stop()
		for j := range w.order {
			if w.order[j] == old {
				w.order = append(w.order[:j], w.order[j+1:]...)
				break
			}
		}
	}
	w.nodes[s.Address] = s
	w.order = append(w.order, s)
	s.start()
	return s
}

func (w *cluster) addAll(n int) *cluster {
	for i := range n {
		w.add(i, 1)
	}
	return w
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250) }

// guard returns a function that calls f, delays it while the process is paused and drops it after the process was
// killed.
func (s *simNode) guard(f func()) func() {
	return func() {
		switch {
		case s.killed:
		case s.paused:
			s.delayed = append(s.delayed, f)
		default:
			f()
		}
	}
}

// kill ends the process without a clean leave.
func (s *simNode) kill() {
	s.killed = true
	s.stop()
	if s.w.nodes[s.Address] == s {
		s.w.net.Detach(s.Address)
	}
}

func (s *simNode) pause() { s.paused = true }
func (s *simNode) resume() {
	s.paused = false
	delayed := s.delayed
	s.delayed = nil
	for _, f := range delayed {
		s.guard(f)()
	}
}

// apply checks that version numbers only grow and that each body has its digest.
func (s *simNode) apply(v Version) {
	if n := len(s.applied); n > 0 && v.Number() <= s.applied[n-1] {
		s.w.t.Errorf("%s: version %d was applied after version %d", s.ID, v.Number(), s.applied[n-1])
	}
	if got := s.w.codec.Digest(v.Body()); got != v.Digest() {
		s.w.t.Errorf("%s: version %d got digest %s, want %s", s.ID, v.Number(), got, v.Digest())
	}
	s.applied = append(s.applied, v.Number())
}

func (s *simNode) SetRoster(row provider.Row)     { s.rows = append(s.rows, row) }
func (s *simNode) Suspend()                       { s.state = "suspended" }
func (s *simNode) Rejoin(int64)                   {}
func (s *simNode) Unbroken() clock.Millis         { return 0 }
func (s *simNode) Propose() ([]byte, int64, bool) { return nil, 0, false }

func (s *simNode) Confirmed(clock.Millis, bool, clock.Millis) { s.state = "in use" }

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// run advances the clock and checks after each step that no node has a removed incarnation in its list of live members.
func (w *cluster) run(d clock.Millis) {
	const step = 50
	for ; d > 0; d -= step {
		w.clock.Advance(min(step, d))
		for _, s := range w.order {
			for id, m := range s.members.all {
				switch {
				case m.live() && m.incarnation <= s.removed[id]:
					w.t.Fatalf("%s: removed incarnation %d of %s is in the member list again", s.ID, m.incarnation, id)
				case !m.live():
					s.removed[id] = max(s.removed[id], m.incarnation)
				}
			}
		}
	}
}

// until runs the clock for at most d until the condition holds, and returns the time that this took.
func (w *cluster) until(d clock.Millis, what string, condition func() bool) clock.Millis {
	w.t.Helper()
	start := w.clock.Now()
	for w.clock.Now()-start < d {
		if condition() {
			return w.clock.Now() - start
		}
		w.run(50)
	}
	if !condition() {
		for _, s := range w.order[:min(12, len(w.order))] {
			w.t.Logf("%s in force %d usable %v state %s peers %d", s.ID, s.InForce().Number(), s.Usable(), s.state,
				len(s.Peers()))
		}
		w.t.Fatalf("after %d ms the condition does not hold: %s", d, what)
	}
	return d
}

// all returns a function that reports whether the condition holds for every node that is neither killed nor paused.
func (w *cluster) all(condition func(*simNode) bool) func() bool {
	return func() bool {
		for _, s := range w.order {
			if !s.killed && !s.paused && !condition(s) {
				return false
			}
		}
		return true
	}
}

func inForce(number int64) func(*simNode) bool {
	return func(s *simNode) bool { return s.InForce().Number() == number }
}

func usable(s *simNode) bool { return s.Usable() && s.state == "in use" }

// seesAlive returns a condition: the node lists exactly n others as alive.
func seesAlive(n int) func(*simNode) bool {
	return func(s *simNode) bool {
		return len(slices.DeleteFunc(s.Peers(), func(p Peer) bool { return !p.Alive() })) == n
	}
}

// submit writes the next version to the platform as the accepting entry instance would. Faults do not affect these
// writes. If by is not nil, it accepts the version.
func (w *cluster) submit(by *simNode) int64 {
	w.written++
	body, delta := w.codec.body(w.written), w.codec.delta(w.written)
	digest := w.codec.Digest(body)
	w.put("config/"+digest, body)
	row, _ := json.Marshal(fakeRow{w.written, digest, delta}) // always encodes
	w.put("config/current", row)
	if by != nil {
		by.Accepted(w.written, digest, delta, body)
	}
	return w.written
}

// put writes a row, or an object if the key contains a digest.
func (w *cluster) put(key string, value []byte) {
	w.store.Faults = nil
	defer func() { w.store.Faults = w.faults }()
	ctx, direct := context.Background(), w.store.View("")
	if strings.HasPrefix(key, "config/") && key != "config/current" {
		check(w.t, direct.Objects().Put(ctx, key, value))
		return
	}
	w.previous[key] = w.latest[key]
	check(w.t, direct.Table().Commit(ctx, provider.NewTransaction(fmt.Sprintf("put-%s-%d", key, w.clock.Now()),
		provider.Put(key, value, provider.AnyVersion))))
	rows, err := direct.Table().Read(ctx, key)
	check(w.t, err)
	w.latest[key] = rows[0]
}

// tableDown makes the table and the object store refuse every call, or ends this.
func (w *cluster) tableDown(down bool) {
	for _, step := range []string{memory.StepRead, memory.StepCommit, memory.StepObjectGet} {
		if down {
			w.faults.Always(step, fault.Down, 0)
		} else {
			w.faults.Clear(step)
		}
	}
}

// isolate cuts a zone off from the other zones, or ends this.
func (w *cluster) isolate(zone string, cut bool) {
	for i := range w.zones {
		if o := w.zone(i); o != zone {
			w.net.Cut(zone, o, cut)
		}
	}
}

// simTable counts the bytes that platformhttp would send and receive, and returns old rows if stale is set.
type simTable struct {
	provider.Table
	node *simNode
}

func (t simTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	rows, err := t.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	fields := make([]platformhttp.RowFields, len(rows))
	known := make([]platformhttp.KnownFields, len(rows))
	for i, r := range rows {
		if old, ok := t.node.w.previous[r.Key()]; ok && t.node.w.stale {
			rows[i] = old
		}
		fields[i] = platformhttp.RowFields{Key: r.Key(), Value: r.Value(), Version: r.Version(), Operation: r.Operation()}
		cached := t.node.cached[r.Key()]
		known[i] = platformhttp.KnownFields{Version: cached.Version(), Operation: cached.Operation()}
		if cached.Version() == r.Version() {
			fields[i].Value, fields[i].Same = nil, true
		}
		t.node.cached[r.Key()] = r
	}
	q, _ := json.Marshal(platformhttp.Call{Keys: keys, Known: known})
	a, _ := json.Marshal(platformhttp.Answer{Rows: fields})
	t.node.table += len(q) + len(a) + OverheadRequest + OverheadAnswer
	return rows, nil
}

// Commit records the operation ids.
func (t simTable) Commit(ctx context.Context, tx provider.Transaction) error {
	t.node.commits = append(t.node.commits, tx.Operation())
	return t.Table.Commit(ctx, tx)
}

// fakeCodec has bodies that consist of a number and padding, and deltas from one number to the next.
type fakeCodec struct{ padding, bodyBytes int }

type fakeRow struct {
	Version int64  `json:"version"`
	Digest  string `json:"digest"`
	Delta   []byte `json:"delta"`
}

func (c fakeCodec) body(number int64) []byte {
	return fmt.Appendf(nil, "%d %s", number, strings.Repeat("b", c.bodyBytes))
}

func (c fakeCodec) delta(number int64) []byte {
	return fmt.Appendf(nil, "%d %s", number, strings.Repeat("d", c.padding))
}

func (c fakeCodec) Current(row []byte) (int64, string, []byte, error) {
	var r fakeRow
	err := json.Unmarshal(row, &r)
	return r.Version, r.Digest, r.Delta, err
}

func (c fakeCodec) Apply(body, delta []byte) ([]byte, error) {
	var from, to int64
	if _, err := fmt.Sscan(string(body), &from); err != nil {
		return nil, err
	}
	if _, err := fmt.Sscan(string(delta), &to); err != nil {
		return nil, err
	}
	if to != from+1 {
		return nil, fmt.Errorf("the delta leads to version %d, the body has version %d", to, from)
	}
	return c.body(to), nil
}

func (c fakeCodec) Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// fakeRosters encodes a roster as a JSON object with incarnations and addresses by id.
type fakeRosters struct{}

type fakeMember struct {
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
}

func (fakeRosters) decode(row []byte) map[string]fakeMember {
	all := map[string]fakeMember{}
	if len(row) > 0 {
		_ = json.Unmarshal(row, &all) // written by Join and Remove
	}
	return all
}

func (f fakeRosters) Members(row []byte) (list []RosterMember, err error) {
	for id, m := range f.decode(row) {
		list = append(list, NewRosterMember(id, m.Address, m.Incarnation))
	}
	slices.SortFunc(list, func(a, b RosterMember) int { return strings.Compare(a.id, b.id) })
	return list, nil
}

func (f fakeRosters) Join(row []byte, m RosterMember) ([]byte, error) {
	all := f.decode(row)
	all[m.ID()] = fakeMember{m.Address(), m.Incarnation()}
	return json.Marshal(all)
}

func (f fakeRosters) Remove(row []byte, id string, incarnation int64) ([]byte, error) {
	all := f.decode(row)
	if all[id].Incarnation == incarnation {
		delete(all, id)
	}
	return json.Marshal(all)
}

func (w *cluster) roster(zone string) map[string]fakeMember {
	faults := w.store.Faults
	w.store.Faults = nil
	defer func() { w.store.Faults = faults }()
	rows, err := w.store.View("").Table().Read(context.Background(), "roster/"+zone)
	check(w.t, err)
	return fakeRosters{}.decode(rows[0].Value())
}
