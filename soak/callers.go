package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
)

const taskMemory = 100 // megabytes

// jobCounts counts the jobs of the callers by outcome.
type jobCounts struct {
	mu        sync.Mutex
	accepted  int
	completed int
	cancelled int
	refused   int
}

// send sends one request to an instance and returns the answer; status 0 means that there was none.
func (s *site) send(ctx context.Context, in *instance, method, path string, body []byte) (status int, content []byte) {
	ctx, cancel := clock.System().WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+in.callers+path, bytes.NewReader(body))
	if err != nil {
		s.options.recordViolation("building a request failed: %v", err)
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set(standin.HeaderDeadline, fmt.Sprint(int64(callTimeout)))
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
			pool: pools[random.IntN(len(pools))], body: standin.JobBody(work, steps...), cancel: random.IntN(cancelOneIn) == 0, abandon: n%abandonOneIn == 0,
			random: rand.New(rand.NewPCG(s.options.Seed, uint64(n+10)))}
		followed.Go(func() { j.follow(ctx, until+completionTimeout) })
	}
}

// followedJob is a submitted job and its state as its caller knows it.
type followedJob struct {
	site      *site
	jobCounts *jobCounts
	id        string
	pool      string
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

func (j *followedJob) path() string { return "/" + j.pool + "/" + j.id }

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
		if j.cancel && !cancelled && j.final == "" {
			status, _ := j.site.send(ctx, j.any(), http.MethodDelete, j.path(), nil)
			cancelled = status == http.StatusOK
		}
		j.poll(ctx)
		if j.final != "" && c.Now()-j.finalAt > 2*propagationTime {
			break // polls of other instances have confirmed it
		}
		if c.Now() > until && j.final == "" {
			j.site.options.recordViolation("job %s in pool %s was accepted and has not ended %d ms after the last fault", j.id, j.pool, completionTimeout)
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
		switch status, content := j.site.send(ctx, j.any(), http.MethodPost, j.path(), j.body); status {
		case http.StatusOK:
			return true
		case 0, http.StatusGatewayTimeout:
			if j.abandon {
				j.giveUp(ctx)
				return false
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
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
		switch status, _ := j.site.send(ctx, j.any(), http.MethodDelete, j.path(), nil); status {
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
	status, content := j.site.send(ctx, in, http.MethodGet, j.path(), nil)
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
