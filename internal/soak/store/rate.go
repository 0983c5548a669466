package store

import "time"

// bucket admits a number of calls a second, with bursts of up to a second's worth.
type bucket struct {
	rate, left float64
	at         time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.at.IsZero() {
		b.left = b.rate
	} else {
		b.left = min(b.rate, b.left+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
