// Package backendtest provides an in-memory database group that implements
// backend.Dialer for tests in virtual time. It keeps a log for each server,
// ships it asynchronously, enforces terms, seals and home claims, and can kill,
// freeze, cut off and silence its servers.
//
// Batches are lines of text: "put KEY VALUE", "get KEY", "begin", "commit",
// "rollback" and "work DURATION", which may precede another command:
// "work 5ms put k v". Answers are lines of text as well.
package backendtest
