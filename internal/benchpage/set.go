// Package benchpage generates the page of benchmark results from the reports of
// the standard set: targets with the measurements of both policies, recoveries
// from faults, and the results of each phase. All figures come from the reports.
package benchpage

import (
	"fmt"
	"path/filepath"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/load"
)

// serversPerGroup is the number of backend servers of each group in the
// standard set, one of them the primary.
const serversPerGroup = 3

// Deployment holds the reports of one deployment in the standard set.
type Deployment struct {
	// Name is the name of the profile and the prefix of the report files.
	Name  string
	Title string
	// Floors are the ranks' guaranteed shares of slot time, as in the deployment's
	// document.
	Floors map[cluster.Rank]float64
	Home   *load.Report
	Static *load.Report
	// KeepFreeSlots is the document's keep_free_slots of urgent requests per
	// server, 0 or 1. OtherKeepFree is a run of the home policy with the other
	// value.
	KeepFreeSlots int
	OtherKeepFree *load.Report
}

// Set holds the reports of one run of the standard set.
type Set struct {
	Deployments []*Deployment
}

// ReadSet reads the reports of the standard set from a directory. All must have
// the same commit, machine, Go version and seed.
func ReadSet(dir string) (*Set, error) {
	set := &Set{Deployments: []*Deployment{
		{
			Name: "cotopaxi", Title: "Cotopaxi",
			Floors: map[cluster.Rank]float64{cluster.RankNormal: 0.3, cluster.RankBackground: 0.1},
		},
		{
			Name: "consorzio", Title: "Consorzio", KeepFreeSlots: 1,
			Floors: map[cluster.Rank]float64{cluster.RankNormal: 0.25, cluster.RankBackground: 0.1},
		},
	}}
	for _, d := range set.Deployments {
		for suffix, target := range d.reportFiles() {
			report, err := load.ReadReport(filepath.Join(dir, d.Name+suffix+".json"))
			if err != nil {
				return nil, err
			}
			*target = report
		}
	}
	return set, set.check()
}

// Suffixes of the names of report files.
const (
	homeSuffix   = "-home"
	staticSuffix = "-static"
)

// otherKeepFreeSuffix is the suffix of the report OtherKeepFree.
func (d *Deployment) otherKeepFreeSuffix() string {
	if d.KeepFreeSlots == 0 {
		return "-one-kept"
	}
	return "-none-kept"
}

// reportFiles maps the suffixes of the deployment's report files to the fields
// that receive them.
func (d *Deployment) reportFiles() map[string]**load.Report {
	return map[string]**load.Report{
		homeSuffix: &d.Home, staticSuffix: &d.Static, d.otherKeepFreeSuffix(): &d.OtherKeepFree,
	}
}

func (s *Set) check() error {
	first := s.first()
	for _, r := range s.reports() {
		if r.Commit != first.Commit || r.Machine != first.Machine || r.Seed != first.Seed || r.GoVersion != first.GoVersion {
			return fmt.Errorf("reports are from different runs: commit %q, machine %q, seed %d, %s and commit %q, machine %q, seed %d, %s",
				first.Commit, first.Machine, first.Seed, first.GoVersion, r.Commit, r.Machine, r.Seed, r.GoVersion)
		}
	}
	return nil
}

func (s *Set) first() *load.Report { return s.Deployments[0].Home }

func (s *Set) reports() []*load.Report {
	var out []*load.Report
	for _, d := range s.Deployments {
		out = append(out, d.Home, d.Static, d.OtherKeepFree)
	}
	return out
}

// primaryCapacity returns the number of statements of the mean service time that
// the slots of all primaries can execute per second.
func primaryCapacity(r *load.Report) float64 {
	return float64(r.Slots) / serversPerGroup / r.ServiceTime.Mean.Seconds()
}
