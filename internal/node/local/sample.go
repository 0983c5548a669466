package local

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/state/config"
)

// The sizes of the sample, which is the fleet of Studenets Frozen Supply.
const (
	racksPerCentre        = 2
	workersPerRack        = 8
	backendsPerCentre     = 16
	acceleratorsPerWorker = 8
	coresPerWorker        = 32
	memoryGBPerWorker     = 128
)

// sampleDataCentre is one data centre of the sample; short is the prefix of the names in it.
type sampleDataCentre struct {
	name      string
	short     string
	instances int
}

// dataCentres are the data centres of the sample.
var dataCentres = []sampleDataCentre{
	{name: "plovdiv", short: "plv", instances: 3},
	{name: "haskovo", short: "hsk", instances: 2},
	{name: "pazardzhik", short: "paz", instances: 2},
}

// resourcesFor returns the resources of one member with the given number of accelerators, in proportion.
func resourcesFor(accelerators int) shape.Resources {
	return shape.Resources{Accelerators: accelerators, Cores: accelerators * 2, MemoryGB: accelerators * 8}
}

// Sample returns the sample configuration as revision 1, with the given time.
func Sample(now time.Time) *config.Document {
	doc := &config.Document{Revision: 1, By: "sample", Command: "sample", At: now}
	for _, p := range dataCentres {
		spec := fleet.DataCentreSpec{Name: p.name, Region: "bg-south", Instances: p.instances}
		for n := range racksPerCentre {
			spec.Racks = append(spec.Racks, fleet.RackSpec{
				Name: fmt.Sprintf("%s-%d", p.short, n+1), Workers: workersPerRack,
				Resources: shape.Resources{Accelerators: acceleratorsPerWorker, Cores: coresPerWorker, MemoryGB: memoryGBPerWorker},
			})
		}
		doc.DataCentres = append(doc.DataCentres, spec)
	}
	gang := shape.Shape{Members: 4, Resources: resourcesFor(acceleratorsPerWorker), Within: shape.Rack}
	pair := shape.Shape{Members: 2, Resources: resourcesFor(acceleratorsPerWorker), Within: shape.Rack}
	doc.Workspaces = []guard.Workspace{
		{Name: "recount", Guarantees: []guard.Guarantee{{Count: 3, Shape: gang}}},
		{Name: "pricing", Guarantees: []guard.Guarantee{{Count: 2, Shape: pair}}},
		{Name: "routes"},
		{Name: "lab"},
	}
	return doc
}

// encode returns a document in the form that `config apply` accepts.
func encode(doc config.Document) ([]byte, error) { return json.MarshalIndent(doc, "", "  ") }
