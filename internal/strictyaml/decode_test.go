package strictyaml

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type target struct {
	Name  string        `yaml:"name" validate:"required"`
	Wait  time.Duration `yaml:"wait"`
	Share float64       `yaml:"share"`
	On    bool          `yaml:"on"`
	Items []item        `yaml:"items" validate:"dive"`
}

type item struct {
	Size int `yaml:"size" validate:"gte=1"`
}

func (i *item) SetDefaults() { i.Size = 3 }

func TestDecode(t *testing.T) {
	tests := []struct {
		name, text string
		want       target
		faults     string
	}{
		{
			"all kinds", "name: |\n  a\n  b\nwait: 1m30s\nshare: 1\non: true\nitems: [{size: 2}, {}]\n",
			target{Name: "a\nb\n", Wait: 90 * time.Second, Share: 1, On: true, Items: []item{{2}, {3}}},
			"",
		},
		{"comment of dashes", "# " + strings.Repeat("-", 300) + "\nname: a\n", target{Name: "a"}, ""},
		{"no text", "# nothing\n", target{}, "1:1: the text is empty"},
		{"two documents", "name: a\n---\nname: b\n", target{}, "3:1: only one YAML document is allowed"},
		{"not a mapping", "- a\n", target{}, "1:1: must be a mapping, not a list"},
		{"duration without unit", "name: a\nwait: 5\n", target{Name: "a"}, "2:7: wait: must be a duration with a unit, such as 500ms or 5s"},
		{"number too large", "name: a\nitems: [{size: 99999999999999999999}]\n", target{Name: "a", Items: []item{{3}}}, "2:16: items[0].size: must be a whole number, not a string"},
		{"string instead of list", "name: a\nitems: x\n", target{Name: "a"}, "2:8: items: must be a list, not a string"},
		{"rule of a list item", "name: a\nitems: [{size: 0}]\n", target{Name: "a", Items: []item{{0}}}, "2:10: items[0].size: must be at least 1"},
		{"quoted number", "name: \"1\"\n", target{Name: "1"}, ""},
		{"unquoted number", "name: 1\n", target{}, "1:7: name: must be a string, not a whole number"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got target
			source, faults := Decode([]byte(test.text), &got)
			faults = append(faults, source.Validate(NewValidator(), &got)...)
			if faults.Err() != nil || test.faults != "" {
				if diff := cmp.Diff(test.faults, faults.Error()); diff != "" {
					t.Error(diff)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTooLongOrDeepInputIsRefused(t *testing.T) {
	var blocks strings.Builder
	for depth := range 2 * maxDepth {
		blocks.WriteString(strings.Repeat("  ", depth) + "a:\n")
	}
	for name, text := range map[string]string{
		"brackets": strings.Repeat("[", 1<<20),
		"braces":   strings.Repeat("{a: ", 1<<18),
		"lists":    strings.Repeat("- ", 1<<19),
		"keys":     strings.Repeat("? ", 1<<19),
		"blocks":   blocks.String(),
		"length":   strings.Repeat("a", MaxBytes+1),
	} {
		_, faults := Decode([]byte(text), &target{})
		if len(faults) != 1 || !strings.Contains(faults[0].Message, "too deeply") && !strings.Contains(faults[0].Message, "bytes, more than") {
			t.Errorf("%s: %v", name, faults)
		}
	}
}
