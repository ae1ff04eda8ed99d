package loadgen

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// class is a kind of request of a workload.
type class struct {
	name    string
	service string
	method  string
	path    string
	// share of all requests, in percent.
	share int
	// keyed requests have an idempotency key. idempotent requests may run twice and need
	// none.
	keyed, idempotent bool
	// workMillis is the mean service time.
	workMillis float64
	// body and answer are the maximum sizes in bytes.
	body, answer int
}

// workloads of the two deployments. The services are those of docs/design.md, section 1.6.
// Orders take 200 ms, as assumed in section 2.5.
var workloads = map[string][]class{
	"rolregister": {
		{name: "read", service: "proefbank", method: http.MethodGet, path: "/proof", share: 80, idempotent: true, workMillis: 10, answer: 32 << 10},
		{name: "order", service: "rolinname", method: http.MethodPost, path: "/order", share: 17, keyed: true, workMillis: 200, body: 8 << 10, answer: 1 << 10},
		{name: "upload", service: "rolinname", method: http.MethodPost, path: "/rollbook", share: 3, workMillis: 1000, body: 512 << 10, answer: 256},
	},
	"abtropf": {
		{name: "read", service: "kundenportal", method: http.MethodGet, path: "/model", share: 85, idempotent: true, workMillis: 10, answer: 96 << 10},
		{name: "order", service: "werkstatt-dienst", method: http.MethodPost, path: "/pickup", share: 12, keyed: true, workMillis: 200, body: 4 << 10, answer: 1 << 10},
		{name: "upload", service: "werkstatt-dienst", method: http.MethodPost, path: "/photo", share: 3, workMillis: 1000, body: 1 << 20, answer: 256},
	},
}

// Workloads returns the names of the workloads.
func Workloads() []string {
	names := make([]string, 0, len(workloads))
	for name := range workloads {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func findWorkload(name string) ([]class, error) {
	classes, ok := workloads[name]
	if !ok {
		return nil, errors.Errorf("unknown workload %q, known are %s", name, strings.Join(Workloads(), " and "))
	}
	return classes, nil
}

// drawnRequest holds the randomly drawn properties of a request.
type drawnRequest struct {
	class *class
	// gap to the next request, as a multiple of the mean.
	gap          float64
	body, answer int
	workMillis   float64
}

func drawRequest(rng *rand.Rand, classes []class, workScale float64) drawnRequest {
	c := &classes[len(classes)-1]
	pick := rng.IntN(100)
	for i := range classes {
		if pick -= classes[i].share; pick < 0 {
			c = &classes[i]
			break
		}
	}
	d := drawnRequest{class: c, gap: -math.Log(1 - rng.Float64())}
	// Sizes of answers are uniform up to the maximum, those of bodies between half of the
	// maximum and the maximum. Service times are uniform between 0.5 and 1.5 times the mean.
	d.answer = 1 + rng.IntN(c.answer)
	if c.body > 0 {
		d.body = c.body/2 + rng.IntN(c.body/2)
	}
	d.workMillis = c.workMillis * workScale * (0.5 + rng.Float64())
	return d
}
