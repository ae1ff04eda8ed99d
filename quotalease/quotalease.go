// Package quotalease shares a rate limit between VMs by leased tokens. For the limited
// processes of a region, one VM is the coordinator and another one its standby. A coordinator
// keeps token buckets and leases whole tokens to VMs that ask for them; a VM sends a request
// for each token. Tokens expire, and VMs return those that they do not need, so a limit
// below one request per VM and second is used by whichever VM has requests.
//
// The VMs of the region are the electorate: each one votes, with its requests, for one
// coordinator at a time. A coordinator with the votes of a majority leases most of the limit,
// one with fewer votes a small part in proportion to them. So the bound of 1.5 times the
// limit, plus 5 requests, in any 4 s holds also while VMs disagree on who coordinates, and a
// coordinator need not know whether another one is alive. Lost messages leave tokens unused.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for concurrent
// use.
package quotalease

import "time"

const (
	// TokenTTL is how long a token is valid, from the request for it on. It covers two
	// requests and a round trip between regions.
	TokenTTL = 600 * time.Millisecond
	// voteTTL is how long a vote counts at its coordinator. voteMargin is how much longer a
	// VM waits before it votes for another one: the delay of a late datagram.
	voteTTL    = 600 * time.Millisecond
	voteMargin = 200 * time.Millisecond
	// majorityFraction is the part of the limit that a coordinator with a majority leases,
	// and minorityFraction the part that others would lease together with all votes.
	// Over a window of 4 s and the tokens that are saved up or outstanding at its start, the
	// first and half of the second sum up to less than 1.5 times the limit.
	majorityFraction = 1.0
	minorityFraction = 0.47
	// minMinority is the smallest share of the votes with which a coordinator leases tokens.
	// It bounds the number of coordinators, each of which may save up a whole token.
	minMinority = 0.2
	// minMajorityRate and minMinorityRate are the rates in tokens per second for a process
	// that names a limit of zero, or a very low one. Without any request, no VM would see
	// that the limit has ended.
	minMajorityRate = 0.25
	minMinorityRate = 0.1
	// maxSaved is the time for which unused tokens accumulate.
	maxSaved = 250 * time.Millisecond
	// baseBurst allows a whole token at any rate. With a majority, limits above zero add as
	// much as the limit, at most maxMajorityBurst.
	baseBurst        = 1.0
	maxMajorityBurst = 2.0
)

// bounds returns the rate in tokens per second, and the largest number of tokens that may be
// saved up or outstanding, for a coordinator with a share of the votes.
func bounds(limit, votes float64) (rate, total float64) {
	burst := baseBurst
	switch {
	case votes > 0.5:
		rate = max(majorityFraction*limit, minMajorityRate)
		burst += min(limit, maxMajorityBurst)
	case votes >= minMinority:
		rate = max(minorityFraction*votes*limit, minMinorityRate)
	default:
		return 0, 0
	}
	return rate, rate*(TokenTTL+maxSaved).Seconds() + burst
}

// Rate returns the requests per second that a process with the given limit gets from all VMs
// together.
func Rate(limit float64) float64 {
	rate, _ := bounds(limit, 1)
	return rate
}
