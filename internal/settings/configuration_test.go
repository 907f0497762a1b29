package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/strictyaml"
)

// tableRows returns the fields in the tables of a section of the page.
func tableRows(t *testing.T, page, heading string) []strictyaml.Field {
	t.Helper()
	_, section, ok := strings.Cut(page, "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("the page has no section %s", heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var fields []strictyaml.Field
	for line := range strings.SplitSeq(section, "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		if len(cells) != 5 || cells[2] == "" || cells[4] == "" {
			t.Errorf("row must have field, type, unit, default and meaning: %s", line)
			continue
		}
		fields = append(fields, strictyaml.Field{Path: strings.Trim(cells[0], "`"), Type: cells[1], Default: strings.Trim(cells[3], "`")})
	}
	return fields
}

func TestConfigurationPageMatchesTheCode(t *testing.T) {
	data, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	warden := strictyaml.Fields(&Warden{})
	proxy := strictyaml.Fields(&Proxy{})
	tests := map[string][]strictyaml.Field{
		"Settings of rattan-proxy and rattan-warden": warden,
		"Settings of rattan-proxy only":              proxy[len(warden):],
		"The environment document":                   strictyaml.Fields(&environment.Document{}),
	}
	for heading, want := range tests {
		if diff := cmp.Diff(want, tableRows(t, string(data), heading)); diff != "" {
			t.Errorf("%s:\n%s", heading, diff)
		}
	}
}
