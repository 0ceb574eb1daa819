package event

// Events of packages forwarding and ingress.
const (
	ForwardAnswered      ID = 4210
	ForwardFailed        ID = 4211
	ForwardAttemptFailed ID = 4212
	ForwardStreamBroke   ID = 4213
	ForwardLate          ID = 4214
	ForwardLateLeftOut   ID = 4215
	ForwardBudgetShared  ID = 4216
	ForwardStreamResumed ID = 4217
	ForwardTargetCrashed ID = 4218
	ForwardRetried       ID = 4219
	IngressRefused       ID = 4220
	IngressListening     ID = 4221
	IngressStopping      ID = 4222
	IngressStopped       ID = 4223
	IngressWoke          ID = 4224
	IngressUnknown       ID = 4225
)

var _ = define(
	Definition{ForwardAnswered, Debug, "forward_answered", "A plain request was answered by a target. The fields give the version of the routes, the target and the times, as those of a failure do."},
	Definition{ForwardFailed, Info, "forward_failed", "A plain request was answered by this instance itself, or failed; outcome gives the reason, ran whether a target may have run it, dispatcher the instance that scheduled it or decided about its slot, slot the number under which that one logs it (0 = none). Times are in milliseconds: read_ms until the request was read, wait_ms spent waiting for a placement or a slot, first_ms from its arrival to the first bytes of the response, ms in total."},
	Definition{ForwardAttemptFailed, Info, "forward_attempt_failed", "A target refused or failed a plain request; sent says whether a byte of it may have reached the target."},
	Definition{ForwardStreamBroke, Info, "forward_stream_broke", "A target's stream was interrupted; it is resumed at another target if the route allows it. build is the target's software version, framing says what determines the end of its response (length, chunks or the connection), unfinished is the number of bytes after its last complete event."},
	Definition{ForwardLate, Info, "forward_late", "A plain request was answered by a target, but later than its route's target latency (for a stream, the first event was late); the fields are those of a failure. At most 10 such lines a second are written."},
	Definition{ForwardLateLeftOut, Info, "forward_late_left_out", "The given number of late responses of this second were logged at level debug only."},
	Definition{ForwardBudgetShared, Info, "forward_budget_shared", "The number of instances that share the budget of extra repeats changed; known is the current count of instances, part this instance's allowance for a window beyond its share of the requests, age the time since its budget was created."},
	Definition{ForwardStreamResumed, Info, "forward_stream_resumed", "A target continues a stream after the event given by after. resumes is the caller's attempt that the stream began with, empty if it broke off within this response; began is the software version that its first event came from, empty if that is not known, build that of the target."},
	Definition{ForwardTargetCrashed, Warn, "forward_target_crashed", "The target crashed while it had the request; first_event says whether it had brought an event of its answer by then, parts are the parts of the prompt but the last, which is the request's own."},
	Definition{ForwardRetried, Info, "forward_retried", "A plain request was answered by a target after attempts that were refused or failed, in time; the lines of the earlier attempts stand before it, and the fields are those of a failure. In lines about an attempt, end says how it ended: answered, refused (the target did not run it), failed, unsigned (a success that is not the target's own), unclear (a response on a kept connection that does not say which request it belongs to), broke_off, no_response, not_sent, given_up (by this instance: its caller left, or a time limit passed); in lines about the end of a request, ends lists the attempts with their targets. In all of them, of the connection of an attempt: conn is its number, counted by this instance, conn_requests how many requests it had carried before, conn_repeated whether one of them had this request's ID, relayed whether it led through another instance, skipped how many responses to other attempts came before the response, identified whether the response stated the request's ID."},
	Definition{IngressRefused, Info, "ingress_refused", "A plain request was refused before its route was determined; reason gives the cause."},
	Definition{IngressListening, Info, "ingress_listening", "The instance listens for plain requests."},
	Definition{IngressStopping, Info, "ingress_stopping", "The instance is stopping: it is no longer listed to callers and finishes its requests in flight."},
	Definition{IngressStopped, Info, "ingress_stopped", "The instance has stopped; cut is the number of requests that were not finished."},
	Definition{IngressUnknown, Info, "ingress_unknown", "A request named a route or carried a key that the routes in force do not contain. The fields give the path, the version in force, and the age and source (the store or an instance) of the store's latest confirmation that this version is in force. The kind says whether the caller got a definite error (not_found, unauthenticated) or was asked to retry (isolated), since a change may have been missed."},
	Definition{IngressWoke, Warn, "ingress_woke", "The process did not run for a while; it confirms its cached state again."},
)
