package pool

import (
	"math"

	"magnoliaferry/clock"
)

const (
	// priorTrials is the weight of the assumption that half of the trials help, as a number of trials.
	priorTrials = 2
	// trialHalfLife is the time after which a trial counts half, so that copies are started again in a queue in which they did not help.
	trialHalfLife = 30 * clock.Second
)

// trials learns which part of the second runs of a queue's slow tasks ends well before the first would have.
type trials struct {
	ended, helped float64
	at            clock.Millis // when they were last updated
}

func (t *trials) add(now clock.Millis, helped bool) {
	weight := t.weight(now)
	t.ended, t.helped, t.at = t.ended*weight+1, t.helped*weight, now
	if helped {
		t.helped++
	}
}

// share returns the part of the trials that is expected to help.
func (t *trials) share(now clock.Millis) float64 {
	weight := t.weight(now)
	return (t.helped*weight + priorTrials/2.0) / (t.ended*weight + priorTrials)
}

func (t *trials) weight(now clock.Millis) float64 {
	return math.Exp2(-float64(now-t.at) / float64(trialHalfLife))
}

// history is what a pool learns about the run times of a queue's tasks.
type history struct {
	amongPeers lengths // against the mean of the tasks of the step that were done before
	declared   lengths // against the corrected declared time
	moves      trials
	copies     trials
}

func (s *Scheduler) history(queue string) *history {
	if s.histories[queue] == nil {
		s.histories[queue] = &history{}
	}
	return s.histories[queue]
}
