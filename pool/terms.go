package pool

import "magnoliaferry/batch"

// Terms of jobs that an earlier version stored without them, and whose queue was removed before this version ran.
const (
	unknownPriority    = 1 << 20 // after all queues
	unknownMaxAttempts = 3       // at least; otherwise the largest number that a queue allows
)

// Configure sets the configuration in force. A job takes over the terms of its queue in that configuration, and keeps those that it has
// if there is none.
func (s *Scheduler) Configure(c *batch.Configuration) {
	if s.configuration == c {
		return
	}
	s.configuration = c
	for _, j := range s.active {
		s.setTerms(j)
		s.advance(j)
	}
}

// SetInheritedTerms sets the terms that the previous owner reported, by queue. It is called before the jobs are added.
func (s *Scheduler) SetInheritedTerms(terms map[string]batch.Terms) { s.inheritedTerms = terms }

func (s *Scheduler) setTerms(j *job) {
	terms, known := j.terms, j.termsKnown
	if queue, ok := s.configuration.QueueOf(j.def.Queue, j.def.Address); ok {
		terms, known = queue.Terms(), true
	}
	if !known && j.def.Terms != nil {
		terms, known = *j.def.Terms, true
	}
	if !known {
		terms, known = s.inheritedTerms[j.def.Queue]
	}
	if !known {
		terms = s.unknownTerms()
	}
	if terms != j.terms {
		j.ranked.job = nil
	}
	j.terms, j.termsKnown = terms, known
}

func (s *Scheduler) unknownTerms() batch.Terms {
	terms := batch.Terms{Priority: unknownPriority, MaxAttempts: unknownMaxAttempts}
	for i := range s.configuration.Queues {
		terms.MaxAttempts = max(terms.MaxAttempts, s.configuration.Queues[i].MaxAttempts)
	}
	return terms
}

// maxAttempts returns how often one of the job's tasks may fail.
func (j *job) maxAttempts() int { return max(j.terms.MaxAttempts, 1) }
