// Package slots divides the slots of workers, the quotas of teams and the limits of pools among entry instances, so
// that no table write is needed for each request.
//
// The package uses these terms:
//
//   - A Roster is the membership list of a zone: its entry instances, stored in one table row.
//   - The share of a member is the number of units of a resource that it may use. It is computed from the roster alone.
//   - A loan is a number of slots that one member, the lender, lets another, the borrower, use for a limited time.
//   - A Ledger records the shares and loans of one entry instance, and an Account is its part for one resource.
//
// The peer module drives a Ledger as follows.
//
//   - At start it reads roster/<zone>, commits Roster.Join conditional on the version of the row, and repeats both
//     after a conflict.
//   - Once a second it notes the time, reads the row, calls SetRoster, commits what Ledger.Propose returns (if it
//     reports a change) conditional on the version, and calls Confirm with the noted time and true. While the table does
//     not answer it asks the peers of the zone for their roster (Roster.Encode and Version) and their Ledger.Unbroken
//     instead, and calls Confirm with false and the greatest answer once the attempt is complete, also when no peer
//     answered. An attempt takes at most 3 s.
//   - When Ledger.Member reports that the instance is no longer in the roster it joins again with a greater
//     incarnation, after Ledger.Rejoin.
//   - A member that did not answer for the lease period is removed with Roster.Remove.
//   - At shutdown it commits Roster.Leave, calls SetRoster with the result, and commits what Propose returns until
//     Ledger.Drained.
//   - For each Want it asks members with free slots for a loan; they call Grant. It calls Accept with the period reduced
//     by the time since the request was sent.
//   - Twice a second it sends the results of GiveBack to the lenders, which call TakeBack.
package slots
