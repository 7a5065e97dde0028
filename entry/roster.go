package entry

import (
	"context"
	"fmt"

	"magnoliaferry/clock"
	"magnoliaferry/platform"
	"magnoliaferry/slots"
)

const rosterPoll = clock.Second

// rosterLoop keeps the instance in the roster of its zone.
type rosterLoop struct {
	clock    *clock.Clock
	table    platform.Table
	ledger   *slots.Ledger
	sequence int
}

// Name implements kernel.Module.
func (l *rosterLoop) Name() string { return "roster" }

// Run confirms the membership once a second until the context ends.
func (l *rosterLoop) Run(ctx context.Context) error {
	for {
		started := l.clock.Now()
		if l.pass(ctx) == nil {
			l.ledger.Confirm(started)
		}
		if err := l.clock.Sleep(ctx, rosterPoll); err != nil {
			return err
		}
	}
}

func (l *rosterLoop) pass(ctx context.Context) error {
	key := "roster/" + l.ledger.Zone
	rows, err := l.table.Read(ctx, key)
	if err != nil {
		return err
	}
	roster, err := slots.DecodeRoster(rows[0].Value(), rows[0].Version())
	if err != nil {
		return err
	}
	l.ledger.SetRoster(l.ledger.Zone, roster)
	next, changed := l.ledger.Propose()
	if !l.ledger.Member() {
		next, changed = roster.Join(l.ledger.ID, l.ledger.Incarnation)
	}
	if !changed {
		return nil
	}
	l.sequence++
	operation := fmt.Sprintf("%s/%d/roster/%d", l.ledger.ID, l.ledger.Incarnation, l.sequence)
	return l.table.Commit(ctx, platform.NewTransaction(operation, platform.Put(key, next.Encode(), roster.Version())))
}
