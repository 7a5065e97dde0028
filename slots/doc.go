// Package slots shares the slots of workers, the quotas of teams and the limits of pools between entry instances
// without a table write for each request. A Roster lists the members of a zone and is stored in one table row; the
// base share of a member is a pure function of it. A Ledger holds the shares and loans of one entry instance, and an
// Account is its part of one resource.
//
// The peer module drives a Ledger as follows.
//
//   - At start it reads roster/<zone>, commits Roster.Join conditional on the version of the row, and repeats both
//     after a conflict.
//   - Once a second it notes the time, reads the row, calls SetRoster, commits what Ledger.Propose returns (if it
//     says that the row changes) conditional on the version, and calls Confirm with the noted time and true. While the
//     table does not answer it asks the peers of the zone for their roster (Roster.Encode and Version) and their
//     Ledger.Unbroken instead, and calls Confirm with false and the greatest answer once the attempt is complete, also
//     when nobody answered. An attempt takes at most 3 s.
//   - When Ledger.Member reports that the instance is no longer in the roster it joins again with a greater
//     incarnation, after Ledger.Rejoin.
//   - A member that was silent for the lease period is removed with Roster.Remove.
//   - At shutdown it commits Roster.Leave, calls SetRoster with the result, and commits what Propose returns until
//     Ledger.Drained.
//   - For each Want it asks members with free slots for a loan, which they Grant. It calls Accept with the period reduced
//     by the time since the question was sent.
//   - Twice a second it tells the lenders what GiveBack returns, and they call TakeBack.
package slots
