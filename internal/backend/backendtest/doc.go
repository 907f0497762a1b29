// Package backendtest provides an in-memory database group that implements
// backend.Dialer for tests in virtual time. It keeps a log for each server,
// replicates it asynchronously, enforces terms, seals and home claims, and can
// inject faults: servers can be killed, suspended and isolated, and connections
// blackholed.
//
// Batches are lines of text: "put KEY VALUE", "get KEY", "begin", "commit",
// "rollback" and "work DURATION", which may precede another command:
// "work 5ms put k v". Responses are lines of text as well.
package backendtest
