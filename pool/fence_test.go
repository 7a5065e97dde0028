package pool

import "testing"

// Guards against an owner that stays without effect on a worker for good, because that has seen a token of another pool's owner.
func TestOwnerOutlivesTheTokenOfAnotherPool(t *testing.T) {
	d := newManualSim(t, "w0")
	d.answerFirstHold()
	d.s.HoldAnswered(planSingle[Hold](d), Listing{Reply: Reply{Outcome: Fenced, Clock: d.now, Incarnation: 1}}, d.now)
	if !d.s.Fenced() {
		t.Error("fenced got false, want true until a transaction shows that the pool has no other owner")
	}
	refused := d.token
	d.commit()
	if d.s.Fenced() {
		t.Error("fenced got true, want false: the store accepted a transaction of this owner")
	}
	d.advance(holdRetryDelay)
	if got := planSingle[Hold](d).Token; got <= refused {
		t.Errorf("token of the next hold got %d, want more than %d, which the worker refused", got, refused)
	}
}
