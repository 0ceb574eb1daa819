// Package pathtest holds the tests of the request path on the users' platform:
// instances of this process on loopback sockets between the emulator's clients
// and its servers. It has no code beside its tests.
package pathtest
