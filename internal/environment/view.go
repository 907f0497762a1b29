package environment

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/cluster"
)

// View returns the part of a document that a customer may see: its own entry, the
// groups that it uses, without the names of other customers, and the common policy.
func View(d *Document, customer string) *Document {
	view := *d
	view.Customers, view.Groups = nil, nil
	for _, c := range d.Customers {
		if c.Name == customer {
			view.Customers = append(view.Customers, c)
		}
	}
	for _, g := range d.Groups {
		if slices.Contains(g.Customers, customer) {
			g.Customers = []string{customer}
			view.Groups = append(view.Groups, g)
		}
	}
	return &view
}

// Merge applies a customer's changes to the document in force; next is the
// customer's changed view. The error is Faults when next changes anything except
// the customer's own entry and the groups that only this customer uses.
func Merge(current *Document, customer string, next *Document) (*Document, error) {
	if err := checkOwnChanges(current, customer, next); err != nil {
		return nil, err
	}
	merged := *current
	merged.Customers = slices.Clone(current.Customers)
	for i, c := range merged.Customers {
		if c.Name == customer {
			merged.Customers[i] = next.Customers[0]
		}
	}
	merged.Groups = nil
	for _, g := range current.Groups {
		if !usedOnlyBy(g, customer) {
			merged.Groups = append(merged.Groups, g)
		} else if changed, ok := next.Group(g.Name); ok {
			merged.Groups = append(merged.Groups, changed)
		}
	}
	for _, g := range next.Groups {
		if _, ok := current.Group(g.Name); !ok {
			merged.Groups = append(merged.Groups, g)
		}
	}
	return &merged, nil
}

// Encode returns d as YAML that Parse accepts.
func Encode(d *Document) ([]byte, error) {
	data, err := yaml.Marshal(d)
	return data, eris.Wrap(err, "encode document")
}

var groupPath = regexp.MustCompile(`^groups\[([^\]]+)\]`)

// checkOwnChanges returns the changes in next that the customer may not make.
func checkOwnChanges(current *Document, customer string, next *Document) error {
	var faults Faults
	own := "customers[" + customer + "]"
	for _, c := range Diff(View(current, customer), next) {
		inOwnEntry := strings.HasPrefix(c.Path, own+".")
		if !inOwnEntry && !inOwnGroup(c.Path, current, customer, next) {
			message := fmt.Sprintf("customer %q may not change this", customer)
			faults = append(faults, Fault{Path: c.Path, Message: message})
		}
	}
	return faults.Err()
}

// inOwnGroup reports whether path is in a group that only this customer uses, both
// before and after the change.
func inOwnGroup(path string, current *Document, customer string, next *Document) bool {
	match := groupPath.FindStringSubmatch(path)
	if match == nil {
		return false
	}
	name := cluster.GroupName(match[1])
	if g, ok := current.Group(name); ok && !usedOnlyBy(g, customer) {
		return false
	}
	if g, ok := next.Group(name); ok && !usedOnlyBy(g, customer) {
		return false
	}
	return true
}

func usedOnlyBy(g Group, customer string) bool {
	return len(g.Customers) == 1 && g.Customers[0] == customer
}
