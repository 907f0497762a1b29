// Package sqlclass classifies SQL text conservatively: it tells where a
// statement may run and which statements change the state of a session.
//
// It is not a parser. It splits text into tokens and accepts a statement as a
// read only when every token is known to be harmless. Everything in doubt is a
// write.
package sqlclass
