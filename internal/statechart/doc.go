// Package statechart interprets state charts that are written in YAML files.
//
// A chart is a flat list of states with their transitions:
//
//	name: caller_session
//	initial: startup
//	states:
//	  startup: {on: {authenticated: idle, failed: closed}}
//	  idle: {on: {terminated: closed}}
//	  closed: {final: true}
//
// The package that uses a chart embeds the file and loads it at start-up, so
// that a bad chart stops the process before it serves. A Chart is immutable
// and shared by all its machines. A Machine is a pointer to the chart and an
// integer, 16 bytes, because there is one for each connection; a general
// library keeps maps of transitions and callbacks in each machine instead.
package statechart
