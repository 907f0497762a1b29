// Package benchpage writes the page of measurements from the reports of the
// standard set: targets beside figures of both policies, and what happened in
// each phase. No figure of the page is written by hand.
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

// Deployment holds the reports of the standard set at one deployment's sizes.
type Deployment struct {
	// Name is the name of the deployment's profile and of its reports.
	Name  string
	Title string
	// Floors are the shares of slot time in the deployment's document.
	Floors map[cluster.Rank]float64
	Home   *load.Report
	Static *load.Report
	// KeepFreeSlots is the number of slots of a server that the document keeps free for
	// urgent work, 0 or 1. Other is a run of the home with the other number.
	KeepFreeSlots int
	OtherKeepFree *load.Report
}

// Set is the reports of one run of the standard set.
type Set struct {
	Deployments []*Deployment
}

// ReadSet reads the reports of the standard set from a directory. All must come
// from one commit, one machine and one seed.
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

// Endings of the names of reports.
const (
	homeSuffix   = "-home"
	staticSuffix = "-static"
)

// otherKeepFreeSuffix is the ending of the run with the other number of kept slots.
func (d *Deployment) otherKeepFreeSuffix() string {
	if d.KeepFreeSlots == 0 {
		return "-one-kept"
	}
	return "-none-kept"
}

// reportFiles returns the endings of the deployment's reports.
func (d *Deployment) reportFiles() map[string]**load.Report {
	return map[string]**load.Report{
		homeSuffix: &d.Home, staticSuffix: &d.Static, d.otherKeepFreeSuffix(): &d.OtherKeepFree,
	}
}

func (s *Set) check() error {
	first := s.first()
	for _, r := range s.reports() {
		if r.Commit != first.Commit || r.Machine != first.Machine || r.Seed != first.Seed || r.GoVersion != first.GoVersion {
			return fmt.Errorf("reports of different runs: commit %q, machine %q, seed %d, %s beside commit %q, machine %q, seed %d, %s",
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

// primaryCapacity returns how many statements of the mean service time the slots of
// all primaries can do in a second.
func primaryCapacity(r *load.Report) float64 {
	return float64(r.Slots) / serversPerGroup / r.ServiceTime.Mean.Seconds()
}
