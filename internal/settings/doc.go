// Package settings loads the settings files of rattan-proxy and rattan-warden.
//
// A file is YAML and is decoded strictly. Environment variables with the prefix
// RATTAN_ override its fields. Passwords come only from separate files or from the
// environment, and are never printed.
package settings
