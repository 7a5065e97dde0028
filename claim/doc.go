// Package claim ensures that a request with a key runs at most once. A Store stores a claim in the platform's table
// before a request may be dispatched and the recorded answer afterwards, both in batches.
//
// A caller of the package proceeds as follows:
//
//	d, err := store.ClaimWithFingerprint(ctx, caller, key, fingerprint, deadline)
//	if err != nil { ... }                        // a *result.Refusal; nothing was dispatched
//	if a, ok := d.Answer(); ok { ... }           // the recorded answer of an earlier attempt
//	p, _ := d.Permit()
//	if err := p.Use(); err != nil { ... }        // directly before the dispatch; nil at most once
//	... dispatch; p.Undo() when certainly no byte was handed over, then Use again or Abandon
//	p.Finish(answer)                             // or UnknownAnswer() when the outcome is unknown
//
// A request that is not dispatched after all is given up with Permit.Abandon.
package claim
