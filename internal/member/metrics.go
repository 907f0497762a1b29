package member

import "github.com/VictoriaMetrics/metrics"

var (
	pingsSent    = metrics.NewCounter(`rattan_member_pings_total`)
	pingsFailed  = metrics.NewCounter(`rattan_member_pings_failed_total`)
	stateChanges = metrics.NewCounter(`rattan_member_state_changes_total`)
	leaseWrites  = metrics.NewCounter(`rattan_member_lease_writes_total`)
	leaseErrors  = metrics.NewCounter(`rattan_member_lease_errors_total`)
	tableReads   = metrics.NewCounter(`rattan_member_table_reads_total`)
)
