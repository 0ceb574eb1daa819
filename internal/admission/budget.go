package admission

import "time"

const (
	budgetBuckets = 10
	// hedgeShare is the share of the budget that hedges may use.
	hedgeShare = 0.5
)

// retryBudget grants retries, resumes and hedges as a share of the first attempts
// in a sliding window. Without it, the number of retries rises with the number of
// failures, and a slow service gets two or three times its load just when it is
// overloaded.
type retryBudget struct {
	buckets [budgetBuckets]budgetBucket
	newest  int64 // number of the newest bucket
}

// budgetBucket counts the attempts of one part of the window. retries includes
// the hedges.
type budgetBucket struct{ first, retries, hedges, faultRetries int }

func (b *retryBudget) advance(now time.Time, window time.Duration) {
	number := now.UnixNano() / max(int64(window)/budgetBuckets, 1)
	if number-b.newest >= budgetBuckets {
		b.buckets = [budgetBuckets]budgetBucket{}
		b.newest = number
	}
	for b.newest < number {
		b.newest++
		b.buckets[b.newest%budgetBuckets] = budgetBucket{}
	}
}

func (b *retryBudget) current() *budgetBucket {
	return &b.buckets[b.newest%budgetBuckets]
}

func (b *retryBudget) totals() (total budgetBucket) {
	for _, s := range b.buckets {
		total.first += s.first
		total.retries += s.retries
		total.hedges += s.hedges
		total.faultRetries += s.faultRetries
	}
	return total
}

func (b *retryBudget) countFirst(now time.Time, l *GateLimits) {
	b.advance(now, l.RetryWindow)
	b.current().first++
}

// takeRetry counts a retry if the budget allows it, and reports whether it does.
func (b *retryBudget) takeRetry(now time.Time, l *GateLimits) bool {
	b.advance(now, l.RetryWindow)
	total := b.totals()
	if float64(total.retries+1) > max(float64(l.RetryMin), l.RetryShare*float64(total.first)) {
		return false
	}
	b.current().retries++
	return true
}

// takeHedge counts a hedge, for which at most half of the budget may be used.
// When everything is slightly slow, hedges would otherwise use up the whole
// budget, and a call whose reply was lost could not be retried: it would wait
// until its deadline.
func (b *retryBudget) takeHedge(now time.Time, l *GateLimits) bool {
	b.advance(now, l.RetryWindow)
	total := b.totals()
	if float64(total.hedges+1) > hedgeShare*max(float64(l.RetryMin), l.RetryShare*float64(total.first)) || !b.takeRetry(now, l) {
		return false
	}
	b.current().hedges++
	return true
}

// takeFaultRetry counts a retry after a failure that is not a sign of load. When
// the connections of half a service are lost at once, all calls on them have to
// be retried, once each. The number of these retries does not grow with the load
// as that of retries after timeouts does, so they must not use up the same
// budget. They are bounded too: a target that breaks every call would double the
// load.
func (b *retryBudget) takeFaultRetry(now time.Time, l *GateLimits) bool {
	b.advance(now, l.RetryWindow)
	total := b.totals()
	if float64(total.faultRetries+1) > max(float64(l.FaultRetryMin), l.FaultRetryShare*float64(total.first)) {
		return false
	}
	b.current().faultRetries++
	return true
}
