package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/settings"
)

// testSettings returns the settings of a proxy whose platform is unreachable. more is
// inserted after the peer listener's address.
func testSettings(t *testing.T, id, peerAddress, more string) *settings.Proxy {
	t.Helper()
	document, err := filepath.Abs("../../examples/cotopaxi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), id+".yaml")
	text := fmt.Sprintf(`id: %s
failure_domain: ambato
environment: cotopaxi
log: {level: error}
peer: {listen: %q%s}
platform:
  table: {address: "127.0.0.1:1", user: u, database: d}
  objects: {endpoint: "127.0.0.1:1", bucket: rattancove}
document: {bootstrap_file: %s}
`, id, peerAddress, more, document)
	if !strings.Contains(text, "callers:") {
		text += "callers: {listen: \"127.0.0.1:0\"}\n"
	}
	writeFile(t, path, text)
	s, err := settings.LoadProxy(path)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// proxyPair holds two proxies that know each other and whose membership views never
// change.
type proxyPair struct {
	t           *testing.T
	entry, home *Proxy
	listener    net.Listener
}

func newProxyPair(t *testing.T) *proxyPair {
	e := &proxyPair{t: t}
	var err error
	if e.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.listener.Close() })
	e.entry = e.proxy("entry-1", "127.0.0.1:2")
	e.home = e.proxy("entry-2", e.listener.Addr().String())
	for _, p := range []*Proxy{e.entry, e.home} {
		for _, other := range []*Proxy{e.entry, e.home} {
			p.process.Members.HandlePing(member.PingMessage{From: member.Report{
				Member: member.Member{ID: string(other.settings.ID), Role: member.RoleProxy, Address: other.settings.Peer.Address()},
				State:  member.StateAlive,
			}})
		}
	}
	return e
}

func (e *proxyPair) proxy(id, address string) *Proxy {
	e.t.Helper()
	p, err := assemble(e.t.Context(), testSettings(e.t, id, address, ""))
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { p.process.Close(context.Background()) })
	p.home.SetDocument(p.process.Documents.Current().Document)
	return p
}

// serve starts the peer server of the home.
func (e *proxyPair) serve() {
	e.t.Helper()
	log := zerolog.Nop()
	server, err := peer.NewServer(e.home.handlers(), &log)
	if err != nil {
		e.t.Fatal(err)
	}
	go func() { _ = server.Serve(e.t.Context(), e.listener) }()
}

// groupAtHome returns a group that is owned by the second proxy, its home.
func (e *proxyPair) groupAtHome() cluster.GroupName {
	e.t.Helper()
	for _, name := range e.entry.groups() {
		if e.entry.homeLocator().HomeOf(name) == "entry-2" {
			if err := e.home.home.Own(name); err != nil {
				e.t.Fatal(err)
			}
			e.t.Cleanup(func() { e.home.home.Disown(name) })
			return name
		}
	}
	e.t.Fatal("no group has its home at the second proxy")
	return ""
}

func stepNames(e admin.Explanation) []string {
	var names []string
	for _, s := range e.Steps {
		names = append(names, s.Step)
	}
	return names
}

func TestExplainAsksTheHome(t *testing.T) {
	e := newProxyPair(t)
	e.serve()
	request := admin.ExplainRequest{Group: e.groupAtHome(), SQL: "SELECT 1", Rank: "urgent"}
	got, err := e.entry.Explain(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"hop", "class", "home", "floor", "proof", "queue", "server"}
	if names := stepNames(got); !slices.Equal(names, want) || got.Unknown != "" {
		t.Errorf("steps %v, want %v; unknown %q", names, want, got.Unknown)
	}
	if hop := got.Steps[0]; hop.Result != "entry-2" || !strings.Contains(hop.Reason, "entry-1") {
		t.Errorf("hop %+v", hop)
	}
	if got.Home != "entry-2" || got.Rank != "urgent" || got.Class != "read" {
		t.Errorf("explanation %+v", got)
	}
}

// TestExplainIsForwardedOnce checks that a proxy which is taken for the home but does
// not own the group answers so, instead of forwarding the request again.
func TestExplainIsForwardedOnce(t *testing.T) {
	e := newProxyPair(t)
	e.serve()
	name := e.groupAtHome()
	e.home.home.Disown(name)
	got, err := e.entry.Explain(t.Context(), admin.ExplainRequest{Group: name, SQL: "SELECT 1"})
	if err != nil {
		t.Fatal(err)
	}
	last := got.Steps[len(got.Steps)-1]
	if want := []string{"hop", "class", "home", "server"}; !slices.Equal(stepNames(got), want) || last.Result != "none" {
		t.Errorf("steps %+v", got.Steps)
	}
}

func TestExplainRefusesAnInvalidRequest(t *testing.T) {
	e := newProxyPair(t)
	e.serve()
	name := e.groupAtHome()
	_, err := e.entry.Explain(t.Context(), admin.ExplainRequest{Group: name, SQL: "SELECT 1", Rank: "soon"})
	var refused *admin.Error
	if !errors.As(err, &refused) || refused.Code != admin.CodeBadRequest {
		t.Errorf("error %v", err)
	}
	// The home may hold another document, which lacks a name that this one has.
	_, err = e.entry.requestExplanation(t.Context(), "entry-2", admin.ExplainRequest{Group: name, SQL: "SELECT 1", Freshness: "no such"})
	if !errors.As(err, &refused) || refused.Code != admin.CodeBadRequest {
		t.Errorf("error of the home %v", err)
	}
}

func TestExplainReportsAnUnreachableHome(t *testing.T) {
	for name, prepare := range map[string]func(*proxyPair){
		"closed": func(e *proxyPair) { _ = e.listener.Close() },
		"silent": func(*proxyPair) {},
	} {
		t.Run(name, func(t *testing.T) {
			e := newProxyPair(t)
			prepare(e)
			request := admin.ExplainRequest{Group: e.groupAtHome(), SQL: "SELECT 1"}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			got, err := e.entry.Explain(ctx, request)
			if err != nil || ctx.Err() != nil {
				t.Fatal(err, ctx.Err())
			}
			if !strings.Contains(got.Unknown, "the home entry-2 did not answer") || got.Home != "entry-2" || got.Server != "" {
				t.Errorf("explanation %+v", got)
			}
			if want := []string{"class", "home", "server"}; !slices.Equal(stepNames(got), want) {
				t.Errorf("steps %v, want %v", stepNames(got), want)
			}
		})
	}
}
