package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	redKey, blueKey = "redsecret/0123456789=", "bluesecret"
	wrongKey        = "wrongsecret"
)

// keysOf returns organisations with keys.
func keysOf(red, blue []string) []map[string]any {
	return []map[string]any{{"name": "red", "api_keys": red}, {"name": "blue", "api_keys": blue, "priority": 1, "rate_per_s": 1e6, "burst": 1000}}
}

// awaitAnswer sends a read until its answer has a prefix.
func (d *deployment) awaitAnswer(c *caller, prefix string) {
	d.t.Helper()
	_ = c.conn.SetDeadline(time.Now().Add(2 * waitTimeout))
	d.eventually("an answer "+prefix, func() error {
		answer, err := c.send("QUERY q READ crate")
		if err == nil && !strings.HasPrefix(answer, prefix) {
			err = fmt.Errorf("answer %s", answer)
		}
		return err
	})
}

// mustConnect connects with a key.
func (d *deployment) mustConnect(i int, database, key string) (c *caller) {
	d.t.Helper()
	d.eventually("a session", func() (err error) { c, err = d.connectWith(i, database, key); return err })
	d.t.Cleanup(func() { _ = c.conn.Close() })
	return c
}

// exchange sends bytes as a caller and returns what the process answers until it closes the
// connection.
func (d *deployment) exchange(data string) string {
	conn, err := net.Dial("tcp", d.callerAddresses[0])
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(conn, data)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestOrganisationsOnARunningDeployment withdraws, moves and gives back keys, takes the store
// away and makes callers put keys into wrong fields. It guards against sessions and
// transactions that outlive their key, public routes that fail with the store, and keys that
// reach a log, a metric, an answer, a server or a row of the store.
func TestOrganisationsOnARunningDeployment(t *testing.T) {
	logs := &logBuffer{}
	d := &deployment{
		t: t, log: zerolog.New(logs), settings: []string{"bounds.strict_revoke=true", "bounds.revoke_ms=5000"},
		tenants: keysOf([]string{redKey}, []string{blueKey}),
	}
	d.deploy(2, "shop", publicDatabase)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(logs.String())
		}
	})
	d.awaitReady(0, true)
	d.awaitReady(1, true)
	idle, open, blue := d.mustConnect(0, "shop", redKey), d.mustConnect(1, "shop", redKey), d.mustConnect(1, "shop", blueKey)
	public := d.mustConnect(0, publicDatabase, wrongKey)
	d.awaitAnswer(idle, "DATAROW")
	d.awaitAnswer(blue, "DATAROW")
	if answer, err := open.send("QUERY q BEGIN"); err != nil || !strings.HasSuffix(answer, "READY T -") {
		t.Fatalf("begin: %s, %v", answer, err)
	}
	d.awaitAnswer(open, "DATAROW")
	var answers strings.Builder
	for _, data := range []string{
		"STARTUP shop " + wrongKey, "STARTUP shop", "STARTUP missing " + wrongKey, "STARTUP " + redKey + " shop", redKey + " shop",
	} {
		answer := d.exchange(data + "\r\n")
		if strings.HasPrefix(data, "STARTUP") && !strings.HasPrefix(answer, "ERROR DENIED ") {
			t.Errorf("%s: answered %q", data, answer)
		}
		answers.WriteString(answer)
	}
	answers.WriteString(d.exchange("STARTUP shop " + redKey + "\r\n" + redKey + "\r\n"))

	d.tenants = keysOf(nil, []string{blueKey})
	d.configure(2, "shop", publicDatabase)
	d.awaitAnswer(idle, "ERROR DENIED ")
	d.awaitAnswer(open, "ERROR DENIED ")
	d.awaitAnswer(blue, "DATAROW")
	d.awaitAnswer(public, "DATAROW")
	d.tenants = keysOf([]string{blueKey}, []string{redKey})
	d.configure(3, "shop", publicDatabase)
	d.awaitAnswer(idle, "DATAROW")
	if answer, err := open.send("QUERY q COMMIT"); err != nil || !strings.HasSuffix(answer, "READY I -") || !strings.HasPrefix(answer, "ERROR") {
		t.Errorf("the commit of a refused transaction was answered %s, %v", answer, err)
	}

	d.store.SetDown(true)
	d.awaitAnswer(idle, "ERROR BUSY ")
	d.awaitAnswer(public, "DATAROW")
	answers.WriteString(d.exchange("STARTUP shop " + redKey + "\r\n"))
	d.store.SetDown(false)
	d.awaitAnswer(idle, "DATAROW")

	var metricsText bytes.Buffer
	metrics.WritePrometheus(&metricsText, true)
	outputs := map[string]string{
		"log": logs.String(), "metrics": metricsText.String(), "answers": answers.String(),
		"servers": fmt.Sprintf("%+v %v", d.group.Runs(), d.group.Startups()),
	}
	for _, row := range d.store.Rows() {
		if row.Table != "op" {
			outputs["store"] += string(row.Value) + row.Key
		}
	}
	for name, output := range outputs {
		for _, key := range []string{"redsecret", "bluesecret", wrongKey} {
			if i := strings.Index(output, key); i >= 0 {
				t.Errorf("a key in %s: %s", name, output[max(0, i-200):min(len(output), i+50)])
			}
		}
	}
	for organisation := range d.group.Startups() {
		if organisation != "rattancove" && organisation != "red" && organisation != "blue" {
			t.Errorf("a connection was opened for %q", organisation)
		}
	}
	for _, want := range []string{`"api_keys_changed"`, `"cause":"version 2 withdrew the key"`, `"api_keys_unconfirmed"`, `"(an API key)"`} {
		if !logs.contains(want) {
			t.Errorf("%s is not in the log", want)
		}
	}
}
