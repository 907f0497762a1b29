package home

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/rankmetric"
)

var (
	readsReplicaTotal      = metrics.NewCounter(`rattan_home_reads_total{server="replica"}`)
	readsPrimaryTotal      = metrics.NewCounter(`rattan_home_reads_total{server="primary"}`)
	writesTotal            = metrics.NewCounter("rattan_home_writes_total")
	transactionsTotal      = metrics.NewCounter("rattan_home_transactions_total")
	unknownOutcomesTotal   = metrics.NewCounter("rattan_home_unknown_outcomes_total")
	retriesTotal           = metrics.NewCounter("rattan_home_retries_total")
	repeatedOrdersTotal    = metrics.NewCounter("rattan_home_repeated_orders_total")
	proofsTotal            = metrics.NewCounter("rattan_home_proofs_total")
	statusCallsTotal       = metrics.NewCounter("rattan_home_status_calls_total")
	ejectionsTotal         = metrics.NewCounter("rattan_home_ejections_total")
	silentConnectionsTotal = metrics.NewCounter("rattan_home_silent_connections_total")
	outOfStepTotal         = metrics.NewCounter("rattan_home_answers_out_of_step_total")
	reclaimsTotal          = metrics.NewCounter("rattan_home_reclaims_total")
	rollbacksTotal         = metrics.NewCounter("rattan_home_rollbacks_total")
	acksWithheldTotal      = metrics.NewCounter("rattan_home_acks_withheld_total")
	writesUnconfirmedTotal = metrics.NewCounter("rattan_home_writes_unconfirmable_total")
	refusalQueueLength     = metrics.NewHistogram("rattan_home_refusal_queue_length")
	refusalWaitSeconds     = metrics.NewHistogram("rattan_home_refusal_wait_seconds")
	waitSeconds            = rankmetric.New("rattan_home_wait_seconds", metrics.NewHistogram)
	requestSeconds         = rankmetric.New("rattan_home_request_seconds", metrics.NewHistogram)
)
