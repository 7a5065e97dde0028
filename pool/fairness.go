package pool

import "slices"

// Parameters of the floor for each size of job.
const (
	sizeSamples = 64 // newest jobs of a queue by which the size of another one is judged
	minSamples  = 16 // below which all sizes are alike
	// The sizes are: up to the first percentile, between the two, and above the second.
	middlePercentile = 70
	largePercentile  = 90
	// sizeFloor is the share of its jobs that each size completes in time at least, relative to the share of all jobs.
	sizeFloor = 0.5
	// outcomeDecay is the factor by which older outcomes count less with each new one: those of about 60 jobs count.
	outcomeDecay = 0.985
	// minOutcomes is the weight of the outcomes of a size from which its share is known.
	minOutcomes = 1.5
)

const sizes = 3

// sizeShares counts which jobs of a queue meet their objective, by size. In a surge beyond what the pool can run, the order by remaining
// work would complete the most jobs but hardly any of the largest; a size whose share is too low therefore goes first until it has caught
// up.
type sizeShares struct {
	work           [sizeSamples]int // of the newest jobs, a ring
	jobs           int              // number of jobs so far
	middle         int              // work from which on a job is not small
	large          int              // work above which a job is large
	met, jobsEnded [sizes]float64
}

// add returns the size of a new job by its estimated work.
func (s *sizeShares) add(work int) int {
	s.work[s.jobs%sizeSamples] = work
	s.jobs++
	if s.jobs < minSamples {
		return 0
	}
	if s.jobs%8 == 0 || s.jobs == minSamples {
		sorted := slices.Sorted(slices.Values(s.work[:min(s.jobs, sizeSamples)]))
		s.middle, s.large = sorted[len(sorted)*middlePercentile/100], sorted[len(sorted)*largePercentile/100]
	}
	switch {
	case work > s.large:
		return 2
	case work > s.middle:
		return 1
	}
	return 0
}

// record records whether a job of the size has met its objective.
func (s *sizeShares) record(size int, met bool) {
	for i := range sizes {
		s.met[i] *= outcomeDecay
		s.jobsEnded[i] *= outcomeDecay
	}
	s.jobsEnded[size]++
	if met {
		s.met[size]++
	}
}

// behind reports whether too few jobs of the size meet their objective.
func (s *sizeShares) behind(size int) bool {
	met, ended := 0.0, 0.0
	for i := range sizes {
		met, ended = met+s.met[i], ended+s.jobsEnded[i]
	}
	return s.jobsEnded[size] >= minOutcomes && s.met[size]/s.jobsEnded[size] < sizeFloor*met/ended
}
