package load

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// Scenario is the YAML description of a run.
type Scenario struct {
	Profile     string      `yaml:"profile" validate:"required"`
	Seed        int64       `yaml:"seed" validate:"gte=0"`
	ServiceTime ServiceTime `yaml:"work"`
	// Slots is the total number of slots of all backend servers.
	Slots  int     `yaml:"slots" validate:"gte=1"`
	Phases []Phase `yaml:"phases" validate:"required,min=1,dive"`
}

// ReadScenario reads a scenario. The error lists all invalid fields with their
// lines.
func ReadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read scenario")
	}
	var s Scenario
	source, faults := strictyaml.Decode(data, &s)
	faults = append(faults, source.Validate(strictyaml.NewValidator(), &s)...)
	faults = append(faults, checkFaults(source, s.Phases)...)
	return &s, eris.Wrapf(faults.Err(), "scenario %s", path)
}

func checkFaults(source *strictyaml.Source, phases []Phase) strictyaml.Faults {
	var out strictyaml.Faults
	for i, phase := range phases {
		for j, f := range phase.Faults {
			path := fmt.Sprintf("phases[%d].faults[%d]", i, j)
			if err := f.check(); err != nil {
				out = append(out, source.Fault(path, "%s", err))
			}
			if max(f.At, f.Until) > phase.Duration {
				out = append(out, source.Fault(path, "starts or ends after the end of the phase"))
			}
		}
	}
	return out
}
