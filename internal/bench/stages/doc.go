// Package stages measures what each scheduling policy of stage work is worth: a
// deployment in virtual time, in which stagework's planner schedules for stage
// targets, model engines and callers that this package plays. Run plays one day
// under one policy; Table prints days side by side.
//
// Nothing sleeps and nothing runs at once: an event loop calls the planner with
// the time of the next event, so that a seed gives the same figures every run.
// Requests, faults and their moments depend on the seed alone, not on the
// policy. It is a model: figures compare policies, they do not foretell a
// deployment's.
package stages
