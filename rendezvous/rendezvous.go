// Package rendezvous implements weighted rendezvous hashing: all VMs rank candidates
// the same way without communication, and adding or removing one candidate moves as few
// keys as possible.
package rendezvous

import "math"

// Mix is the finalizer of splitmix64: each bit of x affects all bits of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Unit maps a hash to a number in the open interval (0, 1).
func Unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// Score returns a candidate's score in weighted rendezvous hashing. The candidate with
// the highest score wins, so each wins with a probability proportional to its weight.
func Score(hash uint64, weight float64) float64 { return -weight / math.Log(Unit(hash)) }
