package policybench

import (
	"testing"
	"time"

	"github.com/currantferry/currantferry/internal/fakeupstream"
)

// services are the services for which the benchmarks run. name is the name of the
// sub-benchmark; that of a deployment's larger service is the name of the deployment.
var services = []struct{ name, deployment, service string }{
	{"rolregister", "rolregister", "proefbank"},
	{"abtropf", "abtropf", "kundenportal"},
	{"rolregister-rolinname", "rolregister", "rolinname"},
	{"abtropf-werkstatt-dienst", "abtropf", "werkstatt-dienst"},
}

const defaultSeed = 1

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// run runs a policy with the seed in CURRANTFERRY_SEED. Services with few requests run
// longer, so that their percentiles are based on enough requests.
func run(b *testing.B, deployment, service, policy string, change func(*fakeupstream.Config)) *fakeupstream.Stats {
	cfg, ok := fakeupstream.Deployment(deployment, service)
	if !ok {
		b.Fatalf("no service %s/%s", deployment, service)
	}
	cfg.Entries, cfg.Warmup, cfg.Length = 12, 10*time.Second, 40*time.Second
	if cfg.Mean > 0 {
		cfg.Length = 10 * time.Minute
	}
	cfg.Seed = envUint(b, "CURRANTFERRY_SEED", defaultSeed)
	change(&cfg)
	return fakeupstream.New(cfg, newPolicyFunc(policy, cfg, cfg.Entries)).Run()
}

// reportUnanswered reports the part of the requests that were not answered and are
// therefore not included in the percentiles.
func reportUnanswered(b *testing.B, st *fakeupstream.Stats) {
	lost := st.Requests - len(st.Latency[0]) - len(st.Latency[1])
	b.ReportMetric(100*float64(lost)/float64(st.Requests), "unanswered-%")
}

// BenchmarkSlowUpstreams measures short work at 70 % load while 10 % of the instances are
// 10 times slower. The slow instances are drawn again every 2 s.
func BenchmarkSlowUpstreams(b *testing.B) {
	for _, s := range services {
		for _, policy := range []string{"currantferry", "currantferry-11", "random", "least-report", "nothing-slowed"} {
			b.Run(s.name+"/"+policy, func(b *testing.B) {
				var st *fakeupstream.Stats
				for b.Loop() {
					st = run(b, s.deployment, s.service, policy, func(c *fakeupstream.Config) {
						c.Load, c.SlowPercent = 0.7, 10
						switch policy {
						case "nothing-slowed":
							c.SlowPercent = 0
						case "currantferry-11":
							c.Entries = 11
						}
					})
				}
				b.ReportMetric(ms(st.Percentile(fakeupstream.Short, 0.5)), "p50-ms")
				b.ReportMetric(ms(st.Percentile(fakeupstream.Short, 0.99)), "p99-ms")
				b.ReportMetric(ms(st.Percentile(fakeupstream.Short, 0.999)), "p999-ms")
				b.ReportMetric(st.ExtraPercent(), "extra-%")
				reportUnanswered(b, st)
			})
		}
	}
}

// BenchmarkHeadOfLine measures 75 % load in which 5 % of the requests take 30 times longer.
// In short-alone, the same short requests arrive without the long ones.
func BenchmarkHeadOfLine(b *testing.B) {
	for _, s := range services {
		for _, policy := range []string{"currantferry", "random", "least-report", "short-alone", "shared-queue"} {
			b.Run(s.name+"/"+policy, func(b *testing.B) {
				var st *fakeupstream.Stats
				for b.Loop() {
					st = run(b, s.deployment, s.service, policy, func(c *fakeupstream.Config) {
						c.Load, c.LongPercent, c.ShortOnly = 0.75, 5, policy == "short-alone"
						c.Length *= 3
					})
				}
				b.ReportMetric(ms(st.Percentile(fakeupstream.Short, 0.99)), "short-p99-ms")
				b.ReportMetric(ms(st.Percentile(fakeupstream.Long, 0.99)), "long-p99-ms")
				reportUnanswered(b, st)
			})
		}
	}
}
