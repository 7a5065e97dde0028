package pool

import (
	"math"

	"magnoliaferry/clock"
)

// Bins of a distribution of run times.
const (
	binsPerDoubling = 4
	lowestBin       = -4 * binsPerDoubling // a sixteenth of the expected time
	lengthBins      = 12*binsPerDoubling + 1
	// priorLengths is the weight of the assumption that runs take the expected time, as a number of runs.
	priorLengths = 4
	// maxLengths is the number of runs after which the weight of all of them is halved.
	maxLengths = 400
)

// lengths is a distribution of run times as multiples of the expected ones, in bins of equal width on a logarithmic scale. The zero value
// assumes that runs take the expected time.
type lengths struct {
	counts [lengthBins]float64
	total  float64
}

func (l *lengths) add(took, expected clock.Millis) {
	if took <= 0 || expected <= 0 {
		return
	}
	bin := int(math.Round(math.Log2(float64(took)/float64(expected))*binsPerDoubling)) - lowestBin
	l.counts[min(max(bin, 0), lengthBins-1)]++
	if l.total++; l.total >= maxLengths {
		for i := range l.counts {
			l.counts[i] /= 2
		}
		l.total /= 2
	}
}

// each calls f for each run time that may occur, with its probability.
func (l *lengths) each(expected clock.Millis, f func(length, probability float64)) {
	for i, weight := range l.counts {
		if i == -lowestBin {
			weight += priorLengths
		}
		if weight > 0 {
			f(float64(expected)*math.Exp2(float64(i+lowestBin)/binsPerDoubling), weight/(l.total+priorLengths))
		}
	}
}

// remaining returns the mean remaining time of a run that has lasted for elapsed. One that has lasted longer than any before is expected to
// last as long again.
func (l *lengths) remaining(expected, elapsed clock.Millis) clock.Millis {
	sum, probability := 0.0, 0.0
	l.each(expected, func(length, p float64) {
		if length > float64(elapsed) {
			sum += (length - float64(elapsed)) * p
			probability += p
		}
	})
	if probability == 0 {
		return elapsed
	}
	return clock.Millis(sum / probability)
}

// against compares a new run with one that ends after remaining. It returns the mean time by which the new run ends earlier, counting 0 if it
// does not, and the mean time for which it works until one of them ends.
func (l *lengths) against(expected, remaining clock.Millis) (saved, worked float64) {
	l.each(expected, func(length, p float64) {
		saved += max(float64(remaining)-length, 0) * p
		worked += min(float64(remaining), length) * p
	})
	return saved, worked
}
