// Package quotalease shares a rate limit between VMs by leased tokens. For each limited
// process one VM is the coordinator and another one its standby. They keep token buckets,
// and lease whole tokens to VMs that ask for them; a VM sends a request for each token.
// Tokens expire, and VMs return those that they do not need, so a limit below one request
// per VM and second is used by whichever VM has requests.
//
// VMs that cannot reach the coordinator ask the standby, which leases a smaller rate. The
// two rates together keep the bound of 1.5 times the limit, plus 5 requests, in any 4 s, so
// neither needs to know whether the other one is alive. No message is needed for safety: a
// lost request or reply leaves tokens unused.
//
// The package has no I/O, goroutines, clock or random source. It is not safe for concurrent
// use.
package quotalease

import "time"

// Rank is the position of a VM among the coordinators of a process.
type Rank int

const (
	// NoRank grants no tokens.
	NoRank Rank = iota
	Primary
	Standby
)

const (
	// TokenTTL is how long a token is valid, from the request for it on. It covers two
	// requests and a round trip between regions.
	TokenTTL = 600 * time.Millisecond
	// primaryFraction and standbyFraction are the parts of the limit that are leased. Over
	// a window of 4 s and the tokens that are saved up or outstanding at its start, they sum
	// up to less than 1.5 times the limit.
	primaryFraction = 0.9
	standbyFraction = 0.33
	// minPrimaryRate and minStandbyRate are the rates in tokens per second for a process
	// that names a limit of zero, or a very low one. Without any request, no VM would see
	// that the limit has ended.
	minPrimaryRate = 0.25
	minStandbyRate = 0.1
	// maxSaved is the time for which unused tokens accumulate.
	maxSaved = 250 * time.Millisecond
	// baseBurst allows a whole token at any rate. Limits above zero add as much as the
	// limit, at most maxPrimaryBurst or maxStandbyBurst.
	baseBurst       = 1.0
	maxPrimaryBurst = 2.0
	maxStandbyBurst = 1.0
)

// bounds returns the rate in tokens per second, and the largest number of tokens that may be
// saved up or outstanding.
func bounds(limit float64, rank Rank) (rate, total float64) {
	burst := 0.0
	switch rank {
	case Primary:
		rate, burst = max(primaryFraction*limit, minPrimaryRate), min(limit, maxPrimaryBurst)
	case Standby:
		rate, burst = max(standbyFraction*limit, minStandbyRate), min(limit, maxStandbyBurst)
	default:
		return 0, 0
	}
	return rate, rate*(TokenTTL+maxSaved).Seconds() + baseBurst + burst
}

// Rate returns the requests per second that a process with the given limit gets from all VMs
// together.
func Rate(limit float64) float64 {
	rate, _ := bounds(limit, Primary)
	return rate
}
