// Package telemetry sets up the log, the metrics endpoint and the tracing of a
// process.
package telemetry
