package term

import "time"

// WithoutJitter replaces random delays by their mean until the returned function is called.
func WithoutJitter() (restore func()) {
	random := jitter
	jitter = func(mean time.Duration) time.Duration { return mean }
	return func() { jitter = random }
}
