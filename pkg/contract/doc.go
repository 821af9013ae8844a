// Package contract shares a limited thing out over the VMs of a fleet: a rate with
// a burst (a workspace's requests), or a count of units (a server's connections).
//
// # Shares
//
// One row of a table says which VMs hold how much of each contract of a group. Its
// versions are written by conditional swap. A version may follow another only if for
// each contract the larger of a holder's two shares, summed over all holders, stays
// within the limit: so it does no harm that some VMs go by the old row and some by the
// new one. What moves from one VM to another therefore takes two versions, the smaller
// share first, and the second is written only when the one before the first is out of
// use everywhere. Leadership only saves writes; two masters are harmless.
//
// A holder may use its shares while, within Validity, a majority of its row's holders
// confirmed that they know no newer row, or the table did. It counts from before it
// asked. A holder that has learned of a newer row confirms no older one. So a row is
// out of use when each of its holders has adopted the next; or has ended, and
// LoanValidity after that; or doesn't answer, and Validity after a majority of the
// row's holders knew the next one and the table held it. Any majority that confirms
// shares a VM with the majority that knows. A row before that one is out of use by
// the same rule, since each step waited for the one before. All waits have a margin
// for clocks that drift by up to one in two thousand each. A paused VM thus can't use
// a share that was given away, and no wall clock is compared.
//
// Ways weighed: renewal by the master alone stops the whole fleet when it dies in an
// outage of the table. Renewal by a named successor can't tell "master dead, table
// out" from "we two are cut off", and is unsafe in one of them. Shares without an end
// need a proof of death, which a hung VM never gives. The majority needs neither
// table nor master while nothing changes.
//
// What it costs: each holder asks each other one every Validity/6. A VM that reaches
// neither a majority of the holders nor the table refuses what it can't borrow, after
// Validity. The share of a VM that died without a word is idle for Validity. If most
// holders vanish at once and none of their VMs comes back or leaves the platform's
// list, the rest go on by reading the table, but shares stay as they are.
//
// # Tokens
//
// A holder's bucket is refilled by its part of the rate up to its part of the burst,
// only within its validity, and starts empty. Lent tokens are debited first and keep
// their place in the lender's cap until the borrower tells that they are used, or
// until the loan has lapsed, which the borrower counts from before it asked and
// never past the lender's own validity. Tokens in buckets plus loans never exceed the
// caps, which sum to at most the burst, and refills sum to at most the rate: every
// window holds at most burst + rate x time. A lost answer loses tokens. Refill is
// counted slower by one in a thousand, for clocks that run fast.
//
// Units of a count are lent in the same way; a loan is extended while its units are in
// use. A VM whose share, validity or loan ends must release its Excess; the master
// waits besides for what outlives its holder (Shares.Linger).
package contract
