// Package sqlclass classifies SQL text conservatively: it determines whether a
// statement may run on a replica and which statements change the state of a
// session.
//
// It does not parse SQL fully. It splits text into tokens and classifies a
// statement as a read only if every token is known to change nothing. All other
// statements are writes.
package sqlclass
