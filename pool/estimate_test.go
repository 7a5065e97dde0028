package pool

import (
	"math/rand/v2"
	"testing"

	"magnoliaferry/clock"
)

// Guards against machines that arrive only after a surge has lasted two seconds, and against requests for machines because
// of random variation of a steady rate.
func TestExpectedRateOfArrivals(t *testing.T) {
	const work = 1000 * 1000 // one core for one second
	var surge arrivals
	due := 0.0
	for now := clock.Millis(0); now < 4000; now += 10 {
		due += float64(now) / 4000 * 100 / 100 // up to 100 jobs a second after 4 s
		for ; due >= 1; due-- {
			surge.add(now, work)
		}
		if got, least := surge.rate(now), 60*1000; now == 2000 && got < least {
			t.Errorf("expected rate 2 s into the surge got %d thousandths of a core, want at least %d: the actual rate reaches 100,000 two seconds later", got, least)
		}
	}
	for _, jobs := range []int{2, 10, 100} {
		random := rand.New(rand.NewPCG(1, 2))
		var steady arrivals
		sum, samples := 0, 0
		for now := clock.Millis(0); now < 60000; now += 10 {
			if random.IntN(100) < jobs {
				steady.add(now, work)
			}
			if now > 2000 {
				sum += steady.rate(now)
				samples++
			}
		}
		if got, most := sum/samples, 2*jobs*1000+2000; got > most {
			t.Errorf("expected rate at a steady %d jobs a second got %d thousandths of a core on average, want at most %d", jobs, got, most)
		}
	}
}
