package plan

import (
	"encoding/json"
	"fmt"
	"testing"
)

// fleetInput returns an input with 3 regions, 5 services and the given number of VMs.
func fleetInput(vms int) Input {
	in := testInput(start, 60, 60, 60)
	base := in.Register.Services[0]
	in.Register.Services = nil
	in.Demand, in.Capacity, in.VMs = nil, nil, nil
	regions := []string{"a", "b", "c"}
	for s := range 5 {
		service := base
		service.Name = fmt.Sprintf("service-%d", s)
		service.Instances = nil
		for _, i := range base.Instances {
			i.ID = fmt.Sprintf("%s-%d", i.ID, s)
			service.Instances = append(service.Instances, i)
		}
		in.Register.Services = append(in.Register.Services, service)
		for _, r := range regions {
			in.Demand = append(in.Demand, Demand{Service: service.Name, Origin: r, At: start, Slots: 60, RequestBytes: 1e6, AnswerBytes: 1e7})
			in.Capacity = append(in.Capacity, Capacity{Service: service.Name, Region: r, At: start, Slots: 100})
		}
	}
	for i := range vms {
		r := regions[i%len(regions)]
		in.VMs = append(in.VMs, VM{ID: fmt.Sprintf("vm-%03d", i), Incarnation: 1, Region: r, DataCentre: r + "1"})
	}
	return in
}

// BenchmarkCompute measures the time to compute a plan and its size for fleets of 12
// to 740 VMs.
func BenchmarkCompute(b *testing.B) {
	for _, vms := range []int{12, 96, 740} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			in := fleetInput(vms)
			var size int
			for b.Loop() {
				p, _, err := Compute(in)
				if err != nil {
					b.Fatal(err)
				}
				data, err := json.Marshal(p)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "plan-bytes")
			b.ReportMetric(b.Elapsed().Seconds()*1e3/float64(b.N), "compute-ms")
		})
	}
}
