package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"

	"magnoliaferry/batch"
	"magnoliaferry/clock"
	"magnoliaferry/standin"
)

// Times of the simulated callers.
const (
	callTimeout       = 3 * clock.Second      // of one request
	submitTimeout     = 10 * clock.Second     // a caller gives up a job that no instance accepts in this time
	jobInterval       = 120 * clock.Millis(1) // mean interval between jobs if the longest task is referenceTask; in proportion for others
	referenceTask     = 1500 * clock.Millis(1)
	pollInterval      = 400 * clock.Millis(1) // between two requests for the state of a job
	cancelOneIn       = 20                    // one in this many jobs is cancelled
	abandonOneIn      = 4                     // one in this many jobs is given up if its submission has an unknown outcome
	propagationTime   = 3 * clock.Second      // until all instances report a state that one has reported; the users' documentation states this time
	completionTimeout = 45 * clock.Second     // for the remaining work after the last fault
	retryInterval     = 100 * clock.Millis(1) // between attempts to submit a job
	intruderInterval  = 25 * clock.Millis(1)  // between two calls with keys that do not hold
	pryOneIn          = 10                    // before one in this many polls of a job another customer asks for it
	cancelPryOneIn    = 4                     // one in this many of those requests is to cancel it
)

const taskMemory = 100 // megabytes

// Jobs come from one customer at a time, so that its load exceeds its cap in its turn. Over a cycle no load does.
var turns = []string{"amber", uncappedCustomer, "birch", noCustomer, "amber", uncappedCustomer, noCustomer, uncappedCustomer}

const jobsPerTurn = 8

// jobCounts counts the jobs of the callers by outcome.
type jobCounts struct {
	mu        sync.Mutex
	accepted  int
	completed int
	cancelled int
	refused   int
}

// send sends one request to an instance, with the key unless it is empty, and returns the answer; status 0 means that there was none. It records a violation
// if the answer is wrong for the key.
func (s *site) send(ctx context.Context, in *instance, method, path, key string, body []byte) (status int, content []byte) {
	readable, sent := s.canReadSince(in), clock.System().Now()
	status, content = s.exchange(ctx, in, method, path, key, body)
	readable = max(readable, s.canReadSince(in))
	if violation := s.operator.checkAnswer(strings.HasPrefix(path, publicPrefix), key, status, sent, readable); violation != "" {
		s.options.recordViolation("%s, %s %s: %s", in.name, method, path, violation)
	}
	return status, content
}

// exchange carries out send without the check.
func (s *site) exchange(ctx context.Context, in *instance, method, path, key string, body []byte) (status int, content []byte) {
	ctx, cancel := clock.System().WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+in.callers+path, bytes.NewReader(body))
	if err != nil {
		s.options.recordViolation("building a request failed: %v", err)
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set(standin.HeaderDeadline, fmt.Sprint(int64(callTimeout)))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if content, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// runCallers submits jobs until the given time and follows each job to its end.
func (s *site) runCallers(ctx context.Context, until clock.Millis, counts *jobCounts) {
	random := rand.New(rand.NewPCG(s.options.Seed, 3))
	c := clock.System()
	var followed sync.WaitGroup
	defer followed.Wait()
	gap := float64(jobInterval) * float64(s.options.LongestTask) / float64(referenceTask) // grows with the length of tasks, so that the load stays the same
	for n := 0; c.Now() < until; n++ {
		if c.Sleep(ctx, clock.Millis(gap*random.ExpFloat64())) != nil {
			return
		}
		work := standin.Work{Length: 50 + clock.Millis(random.IntN(int(s.options.LongestTask))), CPU: 250 * (1 + random.IntN(8))}
		steps := []batch.Step{{Count: 1 + random.IntN(4), Need: batch.Resources{MemoryMB: taskMemory}}}
		if random.IntN(2) == 0 {
			steps = append(steps, batch.Step{Count: 1 + random.IntN(4), Need: batch.Resources{MemoryMB: taskMemory}, After: []int{0}})
		}
		j := &followedJob{site: s, jobCounts: counts, id: fmt.Sprintf("%08x%08d", uint32(s.options.Seed), n),
			prefix: "/" + pools[random.IntN(len(pools))] + "/", body: standin.JobBody(work, steps...), cancel: random.IntN(cancelOneIn) == 0, abandon: n%abandonOneIn == 0,
			random: rand.New(rand.NewPCG(s.options.Seed, uint64(n+10)))}
		if j.customer = turns[n/jobsPerTurn%len(turns)]; j.customer == noCustomer {
			j.prefix = publicPrefix
		}
		s.customerByJob.Store(j.id, j.customer)
		followed.Go(func() { j.follow(ctx, until+completionTimeout) })
	}
}

// runIntruders calls random instances with withdrawn keys, with keys that no configuration has held and without a key, until the given time.
func (s *site) runIntruders(ctx context.Context, until clock.Millis) {
	random := rand.New(rand.NewPCG(s.options.Seed, 5))
	c := clock.System()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; c.Now() < until && c.Sleep(ctx, intruderInterval) == nil; n++ {
		k, ok := s.operator.withdrawnKey(random)
		switch random.IntN(8) {
		case 0:
			k = customerKey{key: fmt.Sprintf("unknown-%d", n)}
		case 1:
			k = customerKey{}
		default:
			if !ok {
				continue
			}
		}
		// The number of waiting jobs has no effect on them. A withdrawn key may still submit a job, which then counts for its customer.
		in, method, path := s.instances[random.IntN(len(s.instances))], http.MethodGet, "/"+pools[random.IntN(len(pools))]+"/"
		var body []byte
		if random.IntN(4) == 0 {
			id := fmt.Sprintf("intruder%08x%08d", uint32(s.options.Seed), n)
			s.customerByJob.Store(id, k.customer)
			method, path = http.MethodPost, path+id
			body = standin.JobBody(standin.Work{Length: 50, CPU: 250}, batch.Step{Count: 1, Need: batch.Resources{MemoryMB: taskMemory}})
		}
		calls.Go(func() { s.send(ctx, in, method, path, k.key, body) })
	}
}

// followedJob is a submitted job and its state as its caller knows it.
type followedJob struct {
	site      *site
	jobCounts *jobCounts
	id        string
	prefix    string // path of its queue
	customer  string
	body      []byte
	cancel    bool
	abandon   bool // the caller gives the job up if its submission has an unknown outcome
	random    *rand.Rand

	acceptedAt clock.Millis
	final      string       // final state that an instance reported first; "": none yet
	finalAt    clock.Millis // time of that report
}

func (j *followedJob) any() *instance {
	return j.site.instances[j.random.IntN(len(j.site.instances))]
}

func (j *followedJob) path() string { return j.prefix + j.id }

// send sends a request for the job to an instance, with a key of its customer.
func (j *followedJob) send(ctx context.Context, in *instance, method string, body []byte) (status int, content []byte) {
	return j.site.send(ctx, in, method, j.path(), j.site.operator.key(j.random, j.customer), body)
}

// pry requests or cancels the job as another customer does, or through the public queue, and records a violation if that succeeds.
func (j *followedJob) pry(ctx context.Context) {
	others := slices.DeleteFunc(slices.Clone(customers), func(c standin.Customer) bool { return c.Name == j.customer })
	customer, prefix := others[j.random.IntN(len(others))].Name, j.prefix
	switch {
	case j.customer == noCustomer:
		prefix = "/" + pools[0] + "/" // the public queue's pool has another queue too
	case j.random.IntN(len(customers)) == 0:
		customer, prefix = noCustomer, publicPrefix
	}
	method := http.MethodGet
	if j.random.IntN(cancelPryOneIn) == 0 {
		method = http.MethodDelete
	}
	in := j.any()
	if status, _ := j.site.send(ctx, in, method, prefix+j.id, j.site.operator.key(j.random, customer), nil); status == http.StatusOK {
		j.site.options.recordViolation("%s answers %s %s%s of customer %q, to whom the job does not belong, with success", in.name, method, prefix, j.id, customer)
	}
}

// follow submits the job at random instances until one accepts it, and polls its state until it has ended.
func (j *followedJob) follow(ctx context.Context, until clock.Millis) {
	if !j.submit(ctx) {
		j.jobCounts.mu.Lock()
		j.jobCounts.refused++
		j.jobCounts.mu.Unlock()
		return
	}
	j.acceptedAt = clock.System().Now()
	j.jobCounts.mu.Lock()
	j.jobCounts.accepted++
	j.jobCounts.mu.Unlock()
	c := clock.System()
	cancelled := false
	for polls := 0; c.Sleep(ctx, pollInterval) == nil; polls++ {
		if j.random.IntN(pryOneIn) == 0 {
			j.pry(ctx)
		}
		if j.cancel && !cancelled && j.final == "" {
			status, _ := j.send(ctx, j.any(), http.MethodDelete, nil)
			cancelled = status == http.StatusOK
		}
		j.poll(ctx)
		if j.final != "" && c.Now()-j.finalAt > 2*propagationTime {
			break // polls of other instances have confirmed it
		}
		if c.Now() > until && j.final == "" {
			j.site.options.recordViolation("job %s of customer %q was accepted and has not ended %d ms after the last fault", j.path(), j.customer, completionTimeout)
			return
		}
	}
	j.jobCounts.mu.Lock()
	defer j.jobCounts.mu.Unlock()
	switch j.final {
	case "completed":
		j.jobCounts.completed++
	case "cancelled":
		j.jobCounts.cancelled++
		if !j.cancel {
			j.site.options.recordViolation("job %s is reported as cancelled, but its caller did not cancel it", j.id)
		}
	case "": // the context ended before the job
	default:
		j.site.options.recordViolation("job %s ended in the unexpected state %s", j.id, j.final)
	}
}

// submit submits the job at random instances until one accepts it, at most for submitTimeout, and reports whether one did.
func (j *followedJob) submit(ctx context.Context) bool {
	c := clock.System()
	for until := c.Now() + submitTimeout; c.Now() < until; {
		switch status, content := j.send(ctx, j.any(), http.MethodPost, j.body); status {
		case http.StatusOK:
			return true
		case 0, http.StatusGatewayTimeout:
			if j.abandon {
				j.giveUp(ctx)
				return false
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized: // send checks whether the key holds
		default:
			j.site.options.recordViolation("job %s was refused with status %d: %s", j.id, status, content)
			return false
		}
		if c.Sleep(ctx, retryInterval) != nil {
			return false
		}
	}
	return false
}

// giveUp cancels a job that may be stored at random instances, until one acknowledges that, at most for submitTimeout.
func (j *followedJob) giveUp(ctx context.Context) {
	c := clock.System()
	for until := c.Now() + submitTimeout; c.Now() < until; {
		switch status, _ := j.send(ctx, j.any(), http.MethodDelete, nil); status {
		case http.StatusOK:
			return
		case http.StatusGone:
			if j.site.begun(j.id) == 0 { // otherwise the job has ended
				j.site.abandonedJob(j.id)
			}
			return
		}
		if c.Sleep(ctx, retryInterval) != nil {
			return
		}
	}
}

// poll requests the state of the job from a random instance. It records a violation if the answer contradicts an earlier one, except
// while the instance cannot have read the latest state yet.
func (j *followedJob) poll(ctx context.Context) {
	in := j.any()
	asked := clock.System().Now()
	status, content := j.send(ctx, in, http.MethodGet, nil)
	switch status {
	case http.StatusOK:
	case http.StatusGone:
		// An instance that did not accept the job itself reports it only after it has read it from the store, within propagationTime.
		if asked > max(j.acceptedAt, j.site.canReadSince(in))+propagationTime {
			j.site.options.recordViolation("%s answers status %d for job %s, which was accepted %d ms before", in.name, status, j.id, asked-j.acceptedAt)
		}
		return
	case http.StatusNotFound:
		j.site.options.recordViolation("%s answers status %d for job %s, which was accepted", in.name, status, j.id)
		return
	default:
		return
	}
	var reported struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(content, &reported); err != nil {
		j.site.options.recordViolation("%s answers with invalid JSON %q for job %s", in.name, content, j.id)
		return
	}
	switch final := reported.State != "pending" && reported.State != "running"; {
	case j.final == "" && final:
		j.final, j.finalAt = reported.State, clock.System().Now()
	case j.final != "" && reported.State != j.final && (final || asked > max(j.finalAt, j.site.canReadSince(in))+propagationTime):
		j.site.options.recordViolation("%s reports state %s for job %s, which was reported as %s %d ms before", in.name, reported.State, j.id, j.final, asked-j.finalAt)
	}
}
