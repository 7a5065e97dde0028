package front

import (
	"testing"

	"magnoliaferry/clock"
)

// Guards against jobs that are refused although the store answers: because of a write that hung and failed after later ones succeeded, or
// because of a failure that is long past (related to review case 10: what is learned in an outage must end).
func TestBreakerForgetsOldFailures(t *testing.T) {
	const long = breakerDelay + 100
	t.Run("a failure that is older than a success", func(t *testing.T) {
		b := &breaker{}
		b.record(true, 1000)
		b.record(true, 1500)
		b.record(false, 1100) // timed out
		for range 2 {         // a probe would be sent even if the breaker were open
			if !b.allow(1100 + long) {
				t.Error("write after the success got refused, want it sent")
			}
		}
	})
	t.Run("a failure long ago", func(t *testing.T) {
		b := &breaker{}
		b.record(false, 1000)
		b.record(false, 1000+long)
		for range 2 {
			if !b.allow(1000 + clock.Minute) {
				t.Error("write a minute after the last failure got refused, want it sent")
			}
		}
	})
	t.Run("an outage", func(t *testing.T) {
		b := &breaker{}
		sent := 0
		for now := clock.Millis(1000); now < 21000; now += 10 {
			if b.allow(now) {
				sent++
				b.record(false, now)
			}
		}
		if most := int(breakerDelay/10 + 20*clock.Second/probePeriod); sent > most {
			t.Errorf("writes during an outage of 20 s got %d, want at most %d", sent, most)
		}
	})
}
