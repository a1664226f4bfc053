// Package celltest builds the instances of a large deployment for tests and
// benchmarks.
package celltest

import (
	"fmt"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/cell"
	"github.com/nutmegroute/nutmegroute/internal/fleet"
	"github.com/nutmegroute/nutmegroute/internal/revision"
	"github.com/nutmegroute/nutmegroute/internal/routing"
)

const (
	// ModelService and PlainService are the names of the services of the instances.
	ModelService = "model"
	PlainService = "plain"
	// plainEvery is the distance between two instances of the plain service.
	plainEvery = 10
	layers     = 80
	// chainSets is the number of sets of instances that hold complete chains. It is a
	// multiple of the number of cells, and instances are assigned to a set by the hash
	// that assigns them to cells, so that each cell holds complete chains.
	chainSets = 16
)

// accelerators holds the types of accelerators and how many layers an instance holds.
var accelerators = []struct {
	routing.Accelerator
	layers int
}{
	{routing.Accelerator{Name: "large", MemoryMB: 72_000, StepFactor: 2.4}, 20},
	{routing.Accelerator{Name: "medium", MemoryMB: 43_200, StepFactor: 5.6}, 12},
	{routing.Accelerator{Name: "small", MemoryMB: 21_600, StepFactor: 16}, 8},
}

// Model returns the service of the engines.
func Model() *routing.Service {
	m := &routing.Model{
		Layers: layers, LayerMB: 1750, TokenLayerBytes: 11_475, StepTime: time.Millisecond,
		StepTimePerSequence: 20 * time.Microsecond, Accelerators: make(map[string]routing.Accelerator),
	}
	for _, a := range accelerators {
		m.Accelerators[a.Name] = a.Accelerator
	}
	return &routing.Service{Name: ModelService, Model: m}
}

// Plain returns the plain service.
func Plain() *routing.Service { return &routing.Service{Name: PlainService} }

// Domain returns the name of a failure domain.
func Domain(i int) string { return fmt.Sprintf("domain-%d", i) }

// Instances returns the instances of the failure domains. One in ten is an instance of the
// plain service, the others hold layers.
func Instances(domains, perDomain int) []fleet.Instance {
	var list []fleet.Instance
	for d := range domains {
		var next [chainSets]int
		for i := range perDomain {
			in := fleet.Instance{
				ID: fmt.Sprintf("engine-%d-%04d", d, i), Service: ModelService, Domain: Domain(d),
				Address: fmt.Sprintf("10.%d.%d.%d:8000", d, i/250, i%250+1), Slots: 64,
			}
			if i%plainEvery == 0 {
				in.Service = PlainService
				list = append(list, in)
				continue
			}
			set := cell.OfInstance(in.ID, chainSets)
			a := accelerators[i%len(accelerators)]
			in.Accelerator = a.Name
			from := next[set]
			to := min(from+a.layers, layers)
			in.Layers = fleet.LayerRange{From: from, To: to}
			next[set] = to % layers
			list = append(list, in)
		}
	}
	return list
}

// View returns a view of instances whose failure domains are divided into n cells each, or
// not at all if n is 1. The own cell is the first one of the first failure domain.
func View(list []fleet.Instance, n int) *fleet.View {
	d := fleet.NewDirectory()
	d.Replace(Records(list), revision.New(0, 1), false, time.Time{})
	if n > 1 {
		counts := make(map[string]int)
		for _, in := range list {
			counts[in.Domain] = n
		}
		own := cell.ID{Domain: Domain(0), Of: n}
		cells := fleet.Cells{Counts: counts, Own: own.Key()}
		for _, p := range cell.Partners(own, counts) {
			cells.Partners = append(cells.Partners, p.Key())
		}
		d.SetCells(cells)
	}
	return d.View()
}

// Records returns the entries of instances in the store.
func Records(list []fleet.Instance) []fleet.Record {
	records := make([]fleet.Record, len(list))
	for i := range list {
		records[i] = fleet.Record{ID: list[i].ID, Revision: revision.New(0, 1), Instance: &list[i]}
	}
	return records
}
