// Package telemetry sets up what a process tells about itself: its log, its
// metrics endpoint and its traces.
package telemetry
