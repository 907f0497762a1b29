package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

const minimalProxySettings = `id: entry-1
failure_domain: latacunga-a
environment: cotopaxi
peer:
  listen: 127.0.0.1:7400
platform:
  table: {address: "127.0.0.1:5400", user: rattan, database: platform}
  objects: {endpoint: "127.0.0.1:9000", bucket: rattancove}
callers:
  listen: 127.0.0.1:6432
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadProxyDefaults(t *testing.T) {
	p, err := LoadProxy(writeFile(t, "proxy.yaml", minimalProxySettings))
	if err != nil {
		t.Fatal(err)
	}
	if p.Callers.Max != DefaultMaxCallers || p.Policy.Sharing != SharingHome || p.Document.Poll != 2*time.Second {
		t.Errorf("defaults are not set: %+v", p)
	}
	if p.Peer.Address() != "127.0.0.1:7400" {
		t.Errorf("peer address %q", p.Peer.Address())
	}
}

func TestLoadReportsEveryFaultWithItsPosition(t *testing.T) {
	text := strings.Replace(minimalProxySettings, "failure_domain: latacunga-a\n", "failuredomain: x\n", 1) +
		"  max: many\n  startup_timeout: 10\ndrain: {timeout: 0s}\npolicy:\n  sharing: broker\nbackend: {password: hunter2}\n"
	path := writeFile(t, "proxy.yaml", text)
	_, err := LoadProxy(path)
	var fileError *FileError
	if !errors.As(err, &fileError) {
		t.Fatalf("error is %v", err)
	}
	want := strings.Join([]string{
		path + ":1:1: failure_domain: the field is required",
		path + ":2:1: failuredomain: unknown field; did you mean failure_domain?",
		path + ":11:8: callers.max: must be a whole number, not a string",
		path + ":12:20: callers.startup_timeout: must be a duration with a unit, such as 500ms or 5s",
		path + ":13:9: drain.timeout: must be more than 0",
		path + ":15:3: policy.sharing: must be one of: home, static",
		path + ":16:11: backend.password: unknown field",
	}, "\n")
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Error(diff)
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	t.Setenv("RATTAN_ID", "entry-9")
	t.Setenv("RATTAN_PEER_SEEDS", "10.0.0.1:7400,10.0.0.2:7400")
	t.Setenv("RATTAN_CALLERS_MAX", "7")
	t.Setenv("RATTAN_PLATFORM_TABLE_PASSWORD", "from-env")
	p, err := LoadProxy(writeFile(t, "proxy.yaml", minimalProxySettings))
	if err != nil {
		t.Fatal(err)
	}
	if p.ID != "entry-9" || len(p.Peer.Seeds) != 2 || p.Callers.Max != 7 {
		t.Errorf("fields are not overridden: %+v", p)
	}
	if p.Platform.Table.Password.Reveal() != "from-env" {
		t.Error("the password does not come from the environment")
	}
}

func TestInvalidEnvironmentIsReported(t *testing.T) {
	t.Setenv("RATTAN_CALLERS_MAX", "many")
	t.Setenv("RATTAN_DRAIN_TIMEOUT", "soon")
	_, err := LoadProxy(writeFile(t, "proxy.yaml", minimalProxySettings))
	if err == nil || strings.Count(err.Error(), "environment variable") != 2 {
		t.Errorf("error is %v", err)
	}
}

func TestSecretsComeFromFilesAndAreNotPrinted(t *testing.T) {
	password := writeFile(t, "password", "s3cret\n")
	keys := writeFile(t, "keys", "access\nvery-s3cret\n")
	text := strings.Replace(minimalProxySettings, "database: platform}", "database: platform, password_file: "+password+"}", 1)
	text = strings.Replace(text, "bucket: rattancove}", "bucket: rattancove, key_file: "+keys+"}", 1)
	p, err := LoadProxy(writeFile(t, "proxy.yaml", text))
	if err != nil {
		t.Fatal(err)
	}
	if p.Platform.Table.Password.Reveal() != "s3cret" || p.Platform.Objects.SecretKey.Reveal() != "very-s3cret" {
		t.Error("the secrets were not read from the files")
	}
	if printed := fmt.Sprintf("%v %+v %#v", p, p, p); strings.Contains(printed, "s3cret") {
		t.Error("a secret was printed")
	}
}

func TestPasswordInDSNIsRefused(t *testing.T) {
	for _, dsn := range []string{"postgres://u:p@h/d", "host=h password=p", "postgres://h/d?password=p"} {
		text := strings.Replace(minimalProxySettings, `address: "127.0.0.1:5400", user: rattan, database: platform`, `dsn: "`+dsn+`"`, 1)
		_, err := LoadProxy(writeFile(t, "proxy.yaml", text))
		if err == nil || !strings.Contains(err.Error(), "must not hold a password") {
			t.Errorf("%s: error is %v", dsn, err)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	for file, target := range map[string]any{"proxy.yaml": &Proxy{}, "warden.yaml": &Warden{}} {
		data, err := os.ReadFile("../../examples/settings/" + file)
		if err != nil {
			t.Fatal(err)
		}
		source, faults := strictyaml.Decode(data, target)
		faults = append(faults, source.Validate(strictyaml.NewValidator(), target)...)
		if err := faults.Err(); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
