// Package claim ensures that a request with a key runs at most once. Before a request may be dispatched, a Store stores
// a claim of its key in the platform's table; afterwards it records the answer. Both are written in batches.
//
// A Permit is the right to dispatch one request once. It exists only if the claim is stored.
//
// A user of the package proceeds as follows:
//
//	d, err := store.ClaimWithFingerprint(ctx, caller, key, fingerprint, deadline)
//	if err != nil { ... }                        // a *result.Refusal; nothing was dispatched
//	if a, ok := d.Answer(); ok { ... }           // the recorded answer of an earlier attempt
//	p, _ := d.Permit()
//	if err := p.Use(); err != nil { ... }        // directly before the dispatch; nil at most once
//	... dispatch; p.Undo() only if no byte of the request was sent, then Use again or Abandon
//	p.Finish(answer)                             // or UnknownAnswer() if the outcome is unknown
//
// The claim of a request that is not dispatched after all is released with Permit.Abandon.
package claim
