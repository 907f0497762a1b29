// Package hostile tests the processes against clients that are not controlled: crowds of
// long messages, of unread answers and of connections that stop half-way. The tests check
// that the processes live, that their memory and descriptors stay under the limits in their
// settings, and that an ordinary request is answered afterwards.
package hostile
