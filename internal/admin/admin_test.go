package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/tlskeys"
	"github.com/rattancove/rattancove/internal/tlskeys/tlstest"
)

const env = "cotopaxi-production"

// fixture is an API server on an in-memory platform.
type fixture struct {
	t       *testing.T
	server  *Server
	table   *providertest.Table
	keyFile string
	status  Status
	log     bytes.Buffer
}

func (f *fixture) Status(context.Context) (Status, error) { return f.status, nil }

func (f *fixture) Members(context.Context) []MemberStatus { return f.status.Members }

func (f *fixture) Explain(_ context.Context, r ExplainRequest) (Explanation, error) {
	return Explanation{Group: r.Group, Home: "entry-1"}, nil
}

const keyFileTemplate = `keys:
  - {name: ops, sha256: %ops, rights: [admin]}
  - {name: monitor, sha256: %monitor, rights: [read]}
  - {name: works, sha256: %works, rights: ["customer:works"]}
  - {name: shop, sha256: %shop, rights: ["customer:shop"]}
  - {name: former, sha256: %former, rights: [admin], expires: "2020-01-01T00:00:00Z"}
`

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, table: providertest.NewTable(), keyFile: filepath.Join(t.TempDir(), "keys.yaml")}
	f.writeKeys(keyFileTemplate)
	keys, err := LoadKeys(f.keyFile, zerolog.New(&f.log))
	if err != nil {
		t.Fatal(err)
	}
	f.server = New(Config{
		Environment: env, Status: f, Documents: document.NewStore(f.table, providertest.NewObjectStore()), Explainer: f,
		Keys: keys, NotReadyReason: func() string { return "starting" }, Log: zerolog.New(&f.log),
	})
	f.status = Status{
		Environment: env, ProcessID: "entry-1",
		Groups: []GroupStatus{
			{Name: "orders-1", Customers: []string{"works"}},
			{Name: "orders-2", Customers: []string{"shop", "works"}},
		},
		Failovers: []FailoverStatus{{Group: "orders-1", Outcome: OutcomeDone}},
	}
	return f
}

func (f *fixture) writeKeys(text string) {
	f.t.Helper()
	for _, name := range []string{"ops", "monitor", "works", "shop", "former"} {
		text = strings.Replace(text, "%"+name, HashKey(name+"-key"), 1)
	}
	if err := os.WriteFile(f.keyFile, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// call sends a request with a key, decodes the response and returns the status.
func (f *fixture) call(key, method, path string, body, response any) int {
	f.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	request := httptest.NewRequest(method, path, bytes.NewReader(data))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(recorder, request)
	if response != nil {
		if err := json.Unmarshal(recorder.Body.Bytes(), response); err != nil {
			f.t.Fatalf("%s %s answered %q: %v", method, path, recorder.Body, err)
		}
	}
	return recorder.Code
}

// testDocument returns a document in which customer works is the only one that uses
// orders-1. It has no change windows, because the tests may run at any time.
func testDocument(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/cotopaxi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	beforeWindows, _, _ := strings.Cut(string(data), "change_windows:")
	return strings.Replace(beforeWindows, "customers: [shop, works]", "customers: [works]", 1)
}

func (f *fixture) publish(key, id, doc string, into any) int {
	f.t.Helper()
	return f.call(key, "POST", "/v1/environments/"+env+"/publish", ChangeRequest{ChangeID: id, Why: "test", Document: doc}, into)
}

func TestKeysAndRights(t *testing.T) {
	f := newFixture(t)
	if code := f.publish("ops-key", "c1", testDocument(t), nil); code != http.StatusOK {
		t.Fatalf("first document: %d", code)
	}
	const base = "/v1/environments/" + env
	tests := []struct {
		key, method, path string
		want              int
	}{
		{"", "GET", "/v1/health", 200},
		{"", "GET", "/v1/ready", 503},
		{"", "GET", "/v1/status", 401},
		{"wrong-key", "GET", "/v1/status", 401},
		{"former-key", "GET", "/v1/status", 401},
		{"ops-key ", "GET", "/v1/status", 401},
		{"monitor-key", "GET", "/v1/status", 200},
		{"monitor-key", "GET", base + "/history", 200},
		{"monitor-key", "POST", base + "/publish", 403},
		{"monitor-key", "POST", base + "/rollback", 403},
		{"works-key", "GET", "/v1/status", 200},
		{"works-key", "GET", base + "/history", 403},
		{"works-key", "POST", base + "/promote", 403},
		{"works-key", "POST", base + "/rollback", 403},
		{"ops-key", "GET", base + "/rollout", 200},
		{"ops-key", "GET", "/v1/environments/other/rollout", 404},
		{"ops-key", "GET", "/v1/environments/a%2Fb/history", 400},
		{"ops-key", "DELETE", base + "/history", 405},
	}
	for _, test := range tests {
		if got := f.call(test.key, test.method, test.path, nil, nil); got != test.want {
			t.Errorf("%s %s with %q: %d, want %d", test.method, test.path, test.key, got, test.want)
		}
	}
	if strings.Contains(f.log.String(), "-key") {
		t.Error("a key was logged")
	}
}

// TestConnectionErrorsAreLogged sends bytes that are not a TLS handshake.
func TestConnectionErrorsAreLogged(t *testing.T) {
	f := newFixture(t)
	keys, err := tlskeys.Load(tlstest.NewAuthority(t, t.TempDir()).Valid("entry"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lines := make(logLines, 1)
	config := f.server.config
	config.Log = zerolog.New(lines)
	serveErr := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { serveErr <- New(config).Serve(ctx, listener, keys) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("no handshake\n")); err != nil {
		t.Fatal(err)
	}
	if line := <-lines; !strings.Contains(line, "admin_connection_failed") || !strings.Contains(line, "TLS") {
		t.Errorf("log %s", line)
	}
	_ = conn.Close()
	cancel()
	if err := <-serveErr; err != nil {
		t.Error(err)
	}
}

// logLines is an io.Writer that sends each log line to the channel.
type logLines chan string

func (w logLines) Write(line []byte) (int, error) {
	w <- string(line)
	return len(line), nil
}

func TestReadOnlyRefusesEveryChange(t *testing.T) {
	f := newFixture(t)
	config := f.server.config
	config.ReadOnly = true
	f.server = New(config)
	for _, operation := range []string{"publish", "promote", "rollback"} {
		var refused errorBody
		code := f.call("ops-key", "POST", "/v1/environments/"+env+"/"+operation, ChangeRequest{}, &refused)
		if code != http.StatusForbidden || refused.Error.Code != CodeForbidden {
			t.Errorf("%s: %d %+v", operation, code, refused.Error)
		}
	}
	if code := f.call("monitor-key", "GET", "/v1/status", nil, nil); code != http.StatusOK {
		t.Errorf("status: %d", code)
	}
	if code := f.call("wrong-key", "GET", "/v1/status", nil, nil); code != http.StatusUnauthorized {
		t.Errorf("status with a wrong key: %d", code)
	}
}

func TestCustomerKeysAreIsolated(t *testing.T) {
	f := newFixture(t)
	f.publish("ops-key", "c1", testDocument(t), nil)
	var status Status
	f.call("shop-key", "GET", "/v1/status", nil, &status)
	if len(status.Groups) != 1 || status.Groups[0].Name != "orders-2" || len(status.Groups[0].Customers) != 1 || len(status.Failovers) != 0 {
		t.Errorf("shop sees %+v", status)
	}
	var shop, works DocumentResponse
	f.call("shop-key", "GET", "/v1/environments/"+env+"/document", nil, &shop)
	if strings.Contains(shop.Document, "orders-1") || strings.Contains(shop.Document, "works") || shop.Revision.Who != "" {
		t.Errorf("shop sees %s", shop.Document)
	}
	if code := f.call("shop-key", "POST", "/v1/explain", ExplainRequest{Group: "orders-1"}, nil); code != http.StatusForbidden {
		t.Errorf("shop may explain statements for a group of works: %d", code)
	}
	f.call("works-key", "GET", "/v1/environments/"+env+"/document", nil, &works)
	own := strings.Replace(works.Document, "connections: 16", "connections: 20", 1)
	if code := f.publish("works-key", "c2", own, nil); code != http.StatusOK {
		t.Errorf("works changes its own group: %d", code)
	}
	var refused errorBody
	shared := strings.Replace(shop.Document, "connections: 16", "connections: 20", 1)
	if code := f.publish("shop-key", "c2", shared, &refused); code != 422 || len(refused.Error.Faults) != 1 {
		t.Errorf("shop changes a shared group: %d %+v", code, refused.Error)
	}
	if code := f.publish("shop-key", "c3", testDocument(t), nil); code != 422 {
		t.Errorf("shop publishes a whole document: %d", code)
	}
}

func TestPublishConflictInvalidAndRetry(t *testing.T) {
	f := newFixture(t)
	var first, retried ChangeResponse
	f.publish("ops-key", "c1", testDocument(t), &first)
	if code := f.publish("ops-key", "c1", testDocument(t), &retried); code != 200 || retried.Revision != first.Revision {
		t.Errorf("repeat: %d %+v", code, retried)
	}
	var body errorBody
	zero := uint64(0)
	request := ChangeRequest{ChangeID: "c2", Why: "test", Document: testDocument(t), IfRevision: &zero}
	code := f.call("ops-key", "POST", "/v1/environments/"+env+"/publish", request, &body)
	if code != 409 || body.Error.Current == nil || body.Error.Current.Revision != 1 {
		t.Errorf("conflict: %d %+v", code, body.Error)
	}
	code = f.call("monitor-key", "POST", "/v1/documents/validate", documentRequest{Document: "name: x\nranks: 1\n"}, &body)
	if code != 422 || len(body.Error.Faults) != 3 || body.Error.Faults[2].Line != 2 {
		t.Errorf("invalid: %d %+v", code, body.Error)
	}
	f.table.SetDown(true)
	if code := f.publish("ops-key", "c3", testDocument(t), &body); code != 503 || body.Error.Code != CodeUnavailable {
		t.Errorf("outage: %d %+v", code, body.Error)
	}
}

func TestKeysAreReloaded(t *testing.T) {
	f := newFixture(t)
	keys := f.server.config.Keys
	reload := func(text string) {
		f.writeKeys(text)
		later := time.Now().Add(time.Hour)
		if err := os.Chtimes(f.keyFile, later, later); err != nil {
			t.Fatal(err)
		}
		keys.checkedAt = time.Time{}
	}
	reload("keys: [{name: x, sha256: short, rights: [admin]}]")
	if code := f.call("ops-key", "GET", "/v1/status", nil, nil); code != 200 {
		t.Errorf("an invalid key file removed the loaded keys: %d", code)
	}
	reload(strings.Replace(keyFileTemplate, "{name: ops, sha256: %ops, rights: [admin]}", "{name: new, sha256: "+HashKey("new-key")+", rights: [admin]}", 1))
	if code := f.call("ops-key", "GET", "/v1/status", nil, nil); code != 401 {
		t.Errorf("a removed key is still accepted: %d", code)
	}
}

func TestInvalidKeyFiles(t *testing.T) {
	hash := HashKey("x")
	for name, text := range map[string]string{
		"no keys":        "keys: []",
		"unknown field":  "keys: [{name: a, sha256: " + hash + ", rights: [read], right: x}]",
		"unknown right":  "keys: [{name: a, sha256: " + hash + ", rights: [write]}]",
		"customer empty": "keys: [{name: a, sha256: " + hash + ", rights: ['customer:']}]",
		"mixed":          "keys: [{name: a, sha256: " + hash + ", rights: ['customer:a', admin]}]",
	} {
		if _, err := parseKeys([]byte(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestConcurrentRequestLimit(t *testing.T) {
	f := newFixture(t)
	for range maxConcurrentRequests {
		f.server.requestSlots <- struct{}{}
	}
	if code := f.call("ops-key", "GET", "/v1/status", nil, nil); code != http.StatusTooManyRequests {
		t.Errorf("status %d", code)
	}
}

func TestReport(t *testing.T) {
	now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	server := ServerStatus{ID: "a", Reachable: true}
	healthy := GroupStatus{Name: "orders-1", Primary: "a", Home: "entry-1", Writable: true, Servers: []ServerStatus{server}}
	broken := GroupStatus{Name: "orders-2", Servers: []ServerStatus{{ID: "b"}, {ID: "c", Reachable: true, UnusedReason: "lag"}}}
	status := Status{
		Time: now, ProcessID: "entry-1", Document: DocumentStatus{Revision: 3, Status: "current"},
		Groups: []GroupStatus{healthy, broken},
		Members: []MemberStatus{
			{ID: "entry-2", Role: "proxy", Revision: 3},
			{ID: "entry-3", Role: "proxy", Revision: 2},
			{ID: "entry-4", Role: "proxy", State: "dead", Revision: 1},
		},
		Failovers: []FailoverStatus{
			{Group: "orders-1", Term: 2, Started: now.Add(-48 * time.Hour), Outcome: OutcomeDone},
			{Group: "orders-1", Term: 3, Started: now.Add(-4 * time.Hour), Outcome: OutcomeDone},
		},
	}
	report := NewReport(status, now.Add(-12*time.Hour))
	want := []Finding{
		{"orders-2", "no primary takes writes"},
		{"orders-2", "no proxy owns the group"},
		{"orders-2", "server b cannot be reached"},
		{"orders-2", "server c is given no work: lag"},
		{"document", "proxy/entry-3 holds revision 2, not 3"},
	}
	if diff := cmp.Diff(want, report.Broken); diff != "" {
		t.Error(diff)
	}
	if len(report.Failovers) != 1 || report.Failovers[0].Term != 3 {
		t.Errorf("failovers %+v", report.Failovers)
	}
}

func TestOpenAPIMatchesTheCode(t *testing.T) {
	data, err := os.ReadFile("../../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var api struct {
		Paths      map[string]map[string]any `yaml:"paths"`
		Components struct {
			Schemas map[string]struct {
				Properties map[string]any `yaml:"properties"`
			} `yaml:"schemas"`
		} `yaml:"components"`
	}
	if err := yaml.Unmarshal(data, &api); err != nil {
		t.Fatal(err)
	}
	documented, served := map[string]bool{}, map[string]bool{}
	for path, methods := range api.Paths {
		for method := range methods {
			if method != "parameters" {
				documented[strings.ToUpper(method)+" "+path] = true
			}
		}
	}
	for _, r := range routes() {
		served[r.pattern] = true
	}
	if diff := cmp.Diff(served, documented); diff != "" {
		t.Error(diff)
	}
	for name, value := range map[string]any{
		"State": HealthResponse{}, "Status": Status{}, "DocumentStatus": DocumentStatus{}, "Group": GroupStatus{},
		"Server": ServerStatus{}, "Queue": QueueStatus{}, "Members": MembersResponse{}, "Member": MemberStatus{},
		"Failover": FailoverStatus{}, "Report": Report{}, "Finding": Finding{}, "Explanation": Explanation{},
		"ExplanationStep": ExplanationStep{}, "ExplainRequest": ExplainRequest{}, "Validation": ValidationResponse{},
		"DocumentText": documentRequest{}, "ChangeRequest": ChangeRequest{}, "Revision": document.Revision{},
		"Changed": ChangeResponse{}, "History": HistoryResponse{}, "Current": DocumentResponse{}, "Rollout": RolloutResponse{},
		"Plan": DiffResponse{}, "Change": environment.Change{}, "Fault": environment.Fault{},
	} {
		want := map[string]bool{}
		for i := range reflect.TypeOf(value).NumField() {
			tag, _, _ := strings.Cut(reflect.TypeOf(value).Field(i).Tag.Get("json"), ",")
			want[tag] = true
		}
		got := map[string]bool{}
		for property := range api.Components.Schemas[name].Properties {
			got[property] = true
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("schema %s:\n%s", name, diff)
		}
	}
}

func TestClassifyHidesCauses(t *testing.T) {
	e := classify(errors.New("dial 10.0.0.1: password=hunter2"))
	if e.Code != CodeUnavailable || strings.Contains(e.Message, "hunter2") {
		t.Errorf("error is %+v", e)
	}
}
