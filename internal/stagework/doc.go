// Package stagework schedules the pieces of the stage services and chooses the
// model engine that goes on with their results.
//
// One instance at a time schedules for all (the dispatcher): a call of a stage
// service has a long fixed part, so that full calls are its capacity, and its
// room for results is small, so that instances which do not know of each other
// fill it with results of half-made requests. Two dispatchers at once cost
// efficiency, never correctness: pieces may be made again and targets refuse
// what they cannot hold.
//
// Planner decides and does no I/O; Dispatcher makes the calls.
package stagework
