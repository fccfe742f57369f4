package decide

import "time"

// Quota limits the request rate, with a burst, and the concurrency of one caller. A limit
// of zero is not enforced.
type Quota struct {
	Rate        float64
	Burst       float64
	Concurrency int

	bucket tokenBucket
	active int
}

// Acquire reports whether a request is admitted, and the delay after which to retry if it is
// not. The caller calls Release at the end of each admitted request.
func (q *Quota) Acquire(now time.Time) (retryAfter time.Duration, ok bool) {
	if q.Concurrency > 0 && q.active >= q.Concurrency {
		return time.Second, false
	}
	if q.Rate > 0 {
		q.bucket.rate = q.Rate
		q.bucket.burst = max(q.Burst, 1)
		if !q.bucket.take(now) {
			missing := 1 - q.bucket.tokens
			return time.Duration(missing / q.Rate * float64(time.Second)), false
		}
	}
	q.active++
	return 0, true
}

// Release records the end of an admitted request.
func (q *Quota) Release() {
	q.active--
}

// Active returns the number of admitted requests that have not ended.
func (q *Quota) Active() int {
	return q.active
}
