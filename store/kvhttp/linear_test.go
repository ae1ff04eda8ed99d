package kvhttp_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/store"
	"github.com/currantferry/currantferry/store/standin"
)

// operation is a read, or a write on condition of the previous value.
type operation struct {
	write           bool
	previous, value string
}

// outcome is the result of an operation. A write with an unknown outcome may have
// taken effect or not.
type outcome struct {
	value    string
	written  bool
	unknown  bool
	conflict bool
}

// registerModel is the sequential specification of one key.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(string), input.(operation), output.(outcome)
		switch {
		case !in.write:
			return out.value == value, value
		case out.conflict:
			return true, value
		case out.written:
			return in.previous == value, in.value
		case in.previous == value:
			return true, in.value
		default:
			return true, value
		}
	},
}

func uintFromEnv(t *testing.T, name string, def uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return def
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A store adapter must not lose an update, read an older value, or take a write whose
// reply was lost for one that had no effect.
func TestHistoriesAreLinearizable(t *testing.T) {
	seed, rounds := uintFromEnv(t, "CURRANTFERRY_SEED", 1), uintFromEnv(t, "CURRANTFERRY_ROUNDS", 4)
	for s := seed; s < seed+rounds; s++ {
		history := recordHistory(t, s)
		if !porcupine.CheckOperations(registerModel, history) {
			t.Fatalf("history of %d operations is not linearizable\nCURRANTFERRY_SEED=%d CURRANTFERRY_ROUNDS=1 go test ./store/kvhttp -run Linearizable", len(history), s)
		}
	}
}

// recordHistory runs concurrent clients while replies to writes are lost.
func recordHistory(t *testing.T, seed uint64) []porcupine.Operation {
	const numClients, pairsPerClient = 5, 30
	server, client := start(t)
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for c := range numClients {
		rng := rand.New(rand.NewPCG(seed, uint64(c)))
		group.Go(func() {
			for i := range pairsPerClient {
				if rng.IntN(10) == 0 {
					server.SetFault(standin.Fault{LoseReplies: 1 + rng.IntN(2)})
				}
				call := time.Since(began).Nanoseconds()
				e, err := client.Get(context.Background(), "k")
				if err != nil && !errors.Is(err, store.ErrNotFound) {
					t.Error(err)
					return
				}
				read := porcupine.Operation{ClientId: c, Input: operation{}, Call: call, Output: outcome{value: string(e.Value)}, Return: time.Since(began).Nanoseconds()}
				next := fmt.Sprintf("%d-%d", c, i)
				in := operation{write: true, previous: string(e.Value), value: next}
				call = time.Since(began).Nanoseconds()
				err = client.CompareAndSwap(context.Background(), store.Write{Key: "k", Value: []byte(next), Index: e.Index})
				write := porcupine.Operation{ClientId: c, Input: in, Call: call, Return: time.Since(began).Nanoseconds()}
				switch {
				case err == nil:
					write.Output = outcome{written: true}
				case errors.Is(err, store.ErrConflict):
					write.Output = outcome{conflict: true}
				default:
					write.Output = outcome{unknown: true}
				}
				mu.Lock()
				history = append(history, read, write)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

// The check must not accept every history.
func TestLostUpdateIsNotLinearizable(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: operation{write: true, previous: "", value: "a"}, Call: 0, Output: outcome{written: true}, Return: 1},
		{ClientId: 1, Input: operation{write: true, previous: "", value: "b"}, Call: 2, Output: outcome{written: true}, Return: 3},
	}
	if porcupine.CheckOperations(registerModel, history) {
		t.Fatal("two writes over the same previous value were accepted")
	}
}
