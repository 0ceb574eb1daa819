// Package crowdtest tests what clients that do not behave can do to an instance: crowds
// that send requests without end, stop half-way, or read no answers.
//
// Each test runs lynxhilld as a process of its own on loopback addresses, in front of the
// emulator, with little memory and few descriptors in its settings. It checks that the
// process lives, that its memory and its descriptors stay within these settings, that an
// ordinary request is answered beside the crowd and after it, and that no refused request
// has run. Nothing that depends on the speed of the machine is checked.
package crowdtest
