// Package settings reads the settings files of rattan-proxy and rattan-warden.
//
// A file is YAML and decoded strictly. Environment variables with the prefix
// RATTAN_ override it. Passwords come only from files or the environment and
// are never printed.
package settings
