// Package statechart interprets state charts that are defined in YAML files.
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
// A package that uses a chart embeds the file and loads it at start-up, so that
// an invalid chart stops the process before it serves requests. A Chart is
// immutable and shared by all its machines. A Machine consists of a pointer to
// the chart and an integer, 16 bytes in total, because there is one for each
// connection. General-purpose libraries keep maps of transitions and callbacks in
// each machine instead.
package statechart
