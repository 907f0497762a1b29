// Package tlskeys turns PEM files into TLS configurations and takes up changed
// files without a restart.
//
// Files are looked at when a connection is made, at most once a second. Files
// that cannot be used, or whose certificate has expired, do not replace the
// keys in use; a certificate that expires while in use is refused.
package tlskeys
