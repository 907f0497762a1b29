package home

import (
	"io"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// escapeLabel escapes the value of a label: names of groups and servers come from outside.
var escapeLabel = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// registerMetrics registers the metrics of the group and of the servers that it has when the
// metrics are read. The caller holds the lock.
func (o *owner) registerMetrics() {
	if !o.home.config.EvenLoad {
		return
	}
	o.metrics = metrics.NewSet()
	o.metrics.RegisterMetricsWriter(o.writeMetrics)
	metrics.RegisterSet(o.metrics)
}

// unregisterMetrics is called before the owner drains, as another owner of the group may
// begin in the meantime.
func (o *owner) unregisterMetrics() {
	if o.metrics != nil {
		metrics.UnregisterSet(o.metrics, true)
	}
}

func (o *owner) writeMetrics(w io.Writer) {
	labels := `{group="` + escapeLabel.Replace(string(o.name)) + `"`
	metrics.WriteGaugeFloat64(w, "rattan_home_busiest_to_mean"+labels+"}", o.dispatcher.BusiestToMean())
	for _, s := range o.dispatcher.Servers() {
		labels := labels + `,server="` + escapeLabel.Replace(string(s.Server)) + `"}`
		load := o.dispatcher.Load(s.Server)
		metrics.WriteGaugeUint64(w, "rattan_home_server_running"+labels, uint64(load.Running))
		metrics.WriteGaugeUint64(w, "rattan_home_server_waiting"+labels, uint64(load.Waiting))
		metrics.WriteCounterUint64(w, "rattan_home_server_statements_total"+labels, load.Given)
		metrics.WriteCounterUint64(w, "rattan_home_server_refused_total"+labels, load.Refused)
	}
}
