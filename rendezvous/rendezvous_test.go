package rendezvous

import (
	"math"
	"testing"
)

// Candidates must win as often as their weights say.
func TestScoreFollowsWeights(t *testing.T) {
	t.Parallel()
	const rounds = 20_000
	weights := []float64{1, 1, 4, 10}
	wins := make([]int, len(weights))
	for r := range uint64(rounds) {
		best, topScore := 0, 0.0
		for k, w := range weights {
			if s := Score(Mix(r*1_000_003+uint64(k)*7919+1), w); s > topScore {
				best, topScore = k, s
			}
		}
		wins[best]++
	}
	for k, w := range weights {
		want := rounds * w / 16
		if math.Abs(float64(wins[k])-want) > 5*math.Sqrt(want) {
			t.Errorf("weight %g won %d times, %.0f expected", w, wins[k], want)
		}
	}
}
