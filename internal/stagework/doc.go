// Package stagework schedules the pieces of stage services (independently
// executable parts of a request's stage) and chooses the model engine that
// processes their results.
//
// For each cell (a group of availability zones), one instance schedules the
// requests of all instances: the cell's dispatcher. A call of a stage service
// has a large fixed cost, so its capacity is only reached with full calls, and
// the memory for results is small, so instances that schedule independently
// would fill it with the results of unfinished requests. Two concurrent
// dispatchers reduce efficiency but never affect correctness: pieces may be
// executed twice, and targets reject what they cannot store.
//
// Planner makes decisions and does no I/O; Dispatcher makes the calls.
package stagework
