package environment

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// documentWithOwnGroup returns a document in which only the customer "works" uses
// orders-1; the other groups are shared.
func documentWithOwnGroup(t *testing.T) *Document {
	return parse(t, strings.Replace(string(example(t, "cotopaxi.yaml")), "customers: [shop, works]", "customers: [works]", 1))
}

func TestViewHidesOthers(t *testing.T) {
	view := View(documentWithOwnGroup(t), "shop")
	data, err := Encode(view)
	if err != nil {
		t.Fatal(err)
	}
	if text := string(data); strings.Contains(text, "works") || strings.Contains(text, "orders-1") || strings.Contains(text, "press-crew") {
		t.Errorf("the view of shop shows others:\n%s", text)
	}
	again := parse(t, string(data))
	if diff := cmp.Diff(view, again, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("the encoded view reads back differently:\n%s", diff)
	}
}

func TestMerge(t *testing.T) {
	tests := []struct {
		name, customer string
		edit           func(*Document)
		refused        string
	}{
		{"nothing", "works", func(*Document) {}, ""},
		{"own limit", "works", func(d *Document) { d.Customers[0].MaxCallers = 5 }, ""},
		{"own group", "works", func(d *Document) { d.Groups[0].Servers[0].Connections = 20 }, ""},
		{"own group dropped", "works", func(d *Document) { d.Groups = d.Groups[1:] }, ""},
		{"shared group", "works", func(d *Document) { d.Groups[1].Servers[0].Connections = 20 }, "groups[orders-2]"},
		{"shared group dropped", "works", func(d *Document) { d.Groups = d.Groups[:1] }, "groups[orders-2]"},
		{"group of others by name", "shop", func(d *Document) { d.Groups[0].Name = "orders-1" }, "groups[orders-1]"},
		{"common policy", "works", func(d *Document) { d.Ranks.Urgent.Queue = 1 }, "ranks.urgent.queue"},
		{"another customer", "works", func(d *Document) { d.Customers = append(d.Customers, Customer{Name: "shop"}) }, "customers[shop]"},
		{"own entry dropped", "works", func(d *Document) { d.Customers = nil }, "customers[works]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			current := documentWithOwnGroup(t)
			view := parse(t, encode(t, View(current, test.customer)))
			test.edit(view)
			merged, err := Merge(current, test.customer, view)
			if test.refused != "" {
				if err == nil || !strings.Contains(err.Error(), test.refused) {
					t.Errorf("want a fault at %s, got %v", test.refused, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(View(merged, test.customer), view, cmpopts.EquateEmpty()); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(View(merged, "shop"), View(current, "shop"), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("the change shows to shop:\n%s", diff)
			}
		})
	}
}

func encode(t *testing.T, d *Document) string {
	t.Helper()
	data, err := Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
