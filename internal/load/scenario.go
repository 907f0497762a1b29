package load

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// Scenario is a run as it is written in a YAML file.
type Scenario struct {
	Profile string `yaml:"profile" validate:"required"`
	Seed    int64  `yaml:"seed" validate:"gte=0"`
	Work    Work   `yaml:"work"`
	// Slots is the number of slots of all backend servers together.
	Slots  int     `yaml:"slots" validate:"gte=1"`
	Phases []Phase `yaml:"phases" validate:"required,min=1,dive"`
}

// ReadScenario reads a scenario. The error names every fault by line.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read scenario")
	}
	var s Scenario
	source, faults := strictyaml.Decode(data, &s)
	faults = append(faults, source.Validate(strictyaml.NewValidator(), &s)...)
	return &s, eris.Wrapf(faults.Err(), "scenario %s", path)
}
