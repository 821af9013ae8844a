// Package contract divides a limited resource among the VMs of a fleet: a rate with a
// burst (the requests of a workspace), or a count of units (the connections to a server).
// A contract is a named limit that the VMs share. A group is the set of contracts that
// are stored in one table row.
//
// # Shares
//
// One table row per group records which VM holds which share of each contract. New
// versions of the row are written by compare-and-swap. A version may follow another only
// if, for each contract, the larger of a holder's old and new share, summed over all
// holders, stays within the limit. It is therefore safe for some VMs to use the old row
// while others use the new one. Moving capacity from one VM to another takes two
// versions: the first shrinks one share, the second grows the other. The second is
// written only when no VM can still use the version before the first. The allocator is
// elected only to save writes; two allocators at once are harmless.
//
// A holder may use its shares for Validity after a majority of the row's holders
// confirmed that they know no newer row, or after it read the row from the table. The
// time counts from before the request was sent. A holder that has learned of a newer row
// no longer confirms an older one. A row is out of use when each of its holders satisfies
// one of three conditions: it adopted the next row; its process ended at least
// LoanValidity ago; or it doesn't answer, and Validity has passed since a majority of the
// row's holders knew the next row and the table held it. Any majority that confirms
// shares a VM with the majority that knows the next row. Earlier rows are out of use too,
// since each row was written only after this rule held for the row two versions before.
// All waits include a margin for clocks that each drift by up to one part in two
// thousand. A paused VM therefore can't use a share that was given away, and wall clocks
// are never compared.
//
// Rejected alternatives: if only the allocator renews, the whole fleet stops when the
// allocator dies during an outage of the table. If a designated successor renews, it
// can't distinguish "allocator dead, table unavailable" from "both of us are partitioned
// from the others", and is unsafe in one of the two cases. Shares that never expire need
// proof that a holder died, which a hung VM never provides. Renewal by a majority needs
// neither the table nor the allocator as long as the shares don't change.
//
// Cost: each holder sends a request to every other holder each Validity/6. A VM that
// reaches neither a majority of the holders nor the table refuses, after Validity, each
// request for which it can't borrow a token. The share of a VM that died without notice
// is unused for Validity. If a majority of the holders disappears at once, and none of
// their VMs restarts or is removed from the platform's list, the other holders continue by
// reading the table, but the shares can't be changed.
//
// # Tokens
//
// A holder's bucket is refilled at its share of the rate up to its share of the burst,
// only while its share is valid, and starts empty. Lent tokens are debited before the
// loan is sent and stay reserved in the lender's cap until the borrower reports that they
// are used, or until the loan has expired. The borrower counts the validity of a loan from
// before it sent the request, and a loan never outlives the lender's own validity. Tokens in
// buckets plus loans never exceed the caps, which sum to at most the burst, and refills
// sum to at most the rate, so every window admits at most burst + rate x time. Tokens are
// lost if the response that carries them is lost. Refill is computed one part in a
// thousand too low, for clocks that run fast.
//
// Units of a count are lent in the same way; a loan is extended while its units are in
// use. A VM whose share, validity or loan ends must release its Excess. The allocator
// additionally waits for units that outlive their holder (Shares.Linger).
package contract
