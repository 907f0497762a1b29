package environment

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/environment/environmenttest"
)

// large returns a document that is large enough to be split.
func large() []byte { return environmenttest.WithGroups(300) }

// edited returns the document of large with the first occurrence of old replaced.
func edited(t *testing.T, old, next string) []byte {
	t.Helper()
	if !bytes.Contains(large(), []byte(old)) {
		t.Fatalf("the document does not contain %q", old)
	}
	return bytes.Replace(large(), []byte(old), []byte(next), 1)
}

// missingPieces returns the pieces of next that are not in old.
func missingPieces(old, next SplitText) []Piece {
	known := old.ByDigest()
	var pieces []Piece
	for _, p := range next.Pieces {
		if _, ok := known[p.Digest]; !ok {
			pieces = append(pieces, p)
		}
	}
	return pieces
}

// digestsOf returns the digests listed in the manifest of a text.
func digestsOf(t *testing.T, text SplitText) []string {
	t.Helper()
	digests, ok, err := ParseManifest(text.Manifest())
	if err != nil || !ok {
		t.Fatalf("manifest %t, %v", ok, err)
	}
	return digests
}

const (
	// sampleGroup is the beginning of a group at which no piece begins.
	sampleGroup = "  - name: g150\n    customers: [c0]\n"
	// sampleServer is a part of a server in that group.
	sampleServer = `10.0.150.1:5432", failure_domain: d1, slots: 2`
)

// TestChangeOfOneGroupChangesOnePiece checks that all other pieces stay the same.
func TestChangeOfOneGroupChangesOnePiece(t *testing.T) {
	old := Split(large())
	if len(old.Pieces) < 10 {
		t.Fatalf("%d pieces", len(old.Pieces))
	}
	added := "  - name: new\n    customers: [c0]\n    servers:\n"
	for i := range 3 {
		added += fmt.Sprintf("      - {id: new-%d, address: \"10.9.9.%d:5432\", failure_domain: d%d, slots: 2, connections: 16}\n", i, i, i)
	}
	for name, next := range map[string][]byte{
		"field":   edited(t, sampleServer, strings.Replace(sampleServer, "slots: 2", "slots: 3", 1)),
		"added":   edited(t, sampleGroup, added+sampleGroup),
		"removed": edited(t, sampleGroup+string(bytes.SplitN(bytes.SplitN(large(), []byte(sampleGroup), 2)[1], []byte("  - name: g151"), 2)[0]), ""),
	} {
		text := Split(next)
		if joined, err := Join(digestsOf(t, text), text.ByDigest()); err != nil || !bytes.Equal(joined, next) {
			t.Errorf("%s: the joined pieces differ from the text: %v", name, err)
		}
		if pieces := missingPieces(old, text); len(pieces) != 1 {
			t.Errorf("%s: %d pieces changed, want 1", name, len(pieces))
		}
	}
}

func TestManifestRoundTrip(t *testing.T) {
	text := Split(large())
	digests, known := digestsOf(t, text), text.ByDigest()
	if len(digests) != len(text.Pieces) {
		t.Fatalf("%d digests of %d pieces", len(digests), len(text.Pieces))
	}
	if data, err := Join(digests, known); err != nil || !bytes.Equal(data, large()) {
		t.Errorf("joined %d bytes, %v", len(data), err)
	}
	known[digests[1]] = []byte("  - name: other\n")
	if _, err := Join(digests, known); !errors.Is(err, ErrManifest) {
		t.Errorf("a piece that does not match: %v", err)
	}
	delete(known, digests[1])
	if _, err := Join(digests, known); !errors.Is(err, ErrManifest) {
		t.Errorf("a missing piece: %v", err)
	}
	if _, ok, err := ParseManifest(text.Manifest()[:len(manifestHeader)+40]); !ok || !errors.Is(err, ErrManifest) {
		t.Errorf("a truncated manifest: %t, %v", ok, err)
	}
}

func TestSmallDocumentsAreNotSplit(t *testing.T) {
	for _, file := range []string{"cotopaxi", "consorzio"} {
		data, err := os.ReadFile("../../examples/" + file + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		text := Split(data)
		if _, manifest, _ := ParseManifest(text.Manifest()); !text.SinglePiece() || manifest || !bytes.Equal(text.Manifest(), data) {
			t.Errorf("%s is stored in %d pieces", file, len(text.Pieces))
		}
	}
}

// TestUnsafeTextsAreNotSplit inserts YAML constructs that continue over several
// lines, or that make the boundaries of the groups ambiguous.
func TestUnsafeTextsAreNotSplit(t *testing.T) {
	const first = "  - name: g0\n"
	for name, data := range map[string][]byte{
		"quotes":        edited(t, first, "  - name: \"g0\n      x\"\n"),
		"brackets":      edited(t, "[c0]", "[c0,\n     c1]"),
		"block scalar":  edited(t, first, "  - name: |\n      g0\n"),
		"flow groups":   edited(t, "groups:\n", "groups: []\nx:\n"),
		"marker":        edited(t, "  - name: g7\n", "---\n  - name: g7\n"),
		"quoted groups": edited(t, "name: size\n", "name: \"size\n  x\"\n"),
		"outdented":     edited(t, "  - name: g7\n", " - name: g7\n"),
		"tab":           edited(t, first, "  - name: g0\t\n"),
	} {
		if text := Split(data); !text.SinglePiece() {
			t.Errorf("%s: %d pieces", name, len(text.Pieces))
		}
	}
}

// TestParserAgreesWithParse checks that the incremental parser returns the same
// document or the same errors as Parse.
func TestParserAgreesWithParse(t *testing.T) {
	tail := "reads:\n  - {name: r, mode: latest}\n"
	texts := map[string][]byte{
		"large":             large(),
		"apostrophe":        edited(t, "[c0]", "[c0] # the cooks' group"),
		"comment":           edited(t, sampleGroup, "# one's own\n\n"+sampleGroup),
		"tail":              append(large(), tail...),
		"groups first":      append([]byte("groups:\n"+strings.SplitN(string(large()), "groups:\n", 2)[1]), strings.SplitN(string(large()), "groups:\n", 2)[0]...),
		"at the margin":     withoutIndent(),
		"changed":           edited(t, sampleServer, strings.Replace(sampleServer, "slots: 2", "slots: 3", 1)),
		"too few slots":     edited(t, sampleServer, strings.Replace(sampleServer, "slots: 2", "slots: 0", 1)),
		"unknown field":     edited(t, sampleServer, strings.Replace(sampleServer, "slots: 2", "slot: 2", 1)),
		"unknown customer":  edited(t, sampleGroup, strings.Replace(sampleGroup, "c0", "nobody", 1)),
		"name twice":        edited(t, "  - name: g150\n", "  - name: g2\n"),
		"address twice":     edited(t, `"10.0.150.1:5432"`, `"10.0.2.1:5432"`),
		"second groups":     append(large(), "groups:\n  - {name: x}\n"...),
		"second document":   append(large(), "---\nname: x\n"...),
		"mark":              append([]byte(manifestHeader), large()...),
		"mark as directive": append([]byte(manifestHeader+"---\n"), large()...),
		"unknown tail":      append(large(), "other: 1\n"...),
	}
	p := NewParser()
	for range 2 {
		for name, data := range texts {
			want, wantErr := Parse(data)
			got, gotErr := p.Parse(data)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
			if diff := cmp.Diff(fmt.Sprint(wantErr), fmt.Sprint(gotErr)); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
		}
	}
}

// withoutIndent returns the document of large with unindented list items.
func withoutIndent() []byte {
	head, groups, _ := strings.Cut(string(large()), "groups:\n")
	return []byte(head + "groups:\n" + strings.ReplaceAll(groups, "  - name", "- name"))
}

func TestParserEvictsUnusedPieces(t *testing.T) {
	p := NewParser()
	for i := range 20 {
		if _, err := p.Parse(edited(t, sampleServer, strings.Replace(sampleServer, "slots: 2", fmt.Sprintf("slots: %d", i%10+1), 1))); err != nil {
			t.Fatal(err)
		}
	}
	if pieces := len(Split(large()).Pieces); len(p.groups) > pieces || len(p.outerDocuments) != 1 {
		t.Errorf("%d pieces and %d outer documents are cached, a document has %d pieces", len(p.groups), len(p.outerDocuments), pieces)
	}
}

// TestNoDocumentBeginsLikeAManifest checks that a stored document cannot be taken
// for a manifest.
func TestNoDocumentBeginsLikeAManifest(t *testing.T) {
	small := environmenttest.WithGroups(3)
	for _, text := range [][]byte{small, append([]byte("---\n"), small...)} {
		if _, err := Parse(append([]byte(manifestHeader), text...)); err == nil {
			t.Errorf("a document that begins with %q is valid", manifestHeader)
		}
	}
}

// mutate applies one to three random edits: it repeats, deletes, swaps, indents and
// joins lines and inserts YAML tokens.
func mutate(r *rand.Rand, data []byte) []byte {
	lines := strings.SplitAfter(string(data), "\n")
	tokens := []string{"'", `"`, "[", "]", "{", "}", "|", ">", "#", ": ", "- ", "---", "\t", "&a ", "*a", "!t ", "groups:\n", "  ", "%x\n", "\\"}
	for range 1 + r.IntN(3) {
		i := r.IntN(len(lines))
		switch r.IntN(6) {
		case 0:
			lines = slices.Insert(lines, i, lines[r.IntN(len(lines))])
		case 1:
			lines = slices.Delete(lines, i, min(i+1+r.IntN(5), len(lines)-1))
		case 2:
			j := r.IntN(len(lines))
			lines[i], lines[j] = lines[j], lines[i]
		case 3:
			lines[i] = strings.Repeat(" ", r.IntN(4)) + strings.TrimLeft(lines[i], " ")
		case 4:
			lines[i] = strings.TrimSuffix(lines[i], "\n")
		default:
			at := r.IntN(len(lines[i]) + 1)
			lines[i] = lines[i][:at] + tokens[r.IntN(len(tokens))] + lines[i][at:]
		}
		lines = slices.DeleteFunc(lines, func(l string) bool { return l == "" })
	}
	return []byte(strings.Join(lines, ""))
}

// TestParserAgreesOnBrokenTextsSeeded checks that the incremental parser agrees with
// Parse on randomly mutated documents.
func TestParserAgreesOnBrokenTextsSeeded(t *testing.T) {
	seeds := 30
	if n, err := strconv.Atoi(os.Getenv("RATTAN_SEEDS")); err == nil {
		seeds = max(n, seeds)
	}
	p := NewParser()
	valid, split := 0, 0
	for seed := range uint64(seeds) {
		data := mutate(rand.New(rand.NewPCG(seed, 0)), large())
		want, wantErr := Parse(data)
		got, gotErr := p.Parse(data)
		if !reflect.DeepEqual(want, got) || fmt.Sprint(wantErr) != fmt.Sprint(gotErr) {
			t.Errorf("seed %d: %v, want %v\n%s", seed, gotErr, wantErr, cmp.Diff(want, got))
		}
		if wantErr == nil {
			valid++
		}
		if !Split(data).SinglePiece() {
			split++
		}
	}
	t.Logf("%d texts, %d valid, %d in pieces", seeds, valid, split)
}
