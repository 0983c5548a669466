package span

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a Go duration string such as "1h30m".
type Duration struct {
	time.Duration
}

// Of wraps a time.Duration.
func Of(d time.Duration) Duration { return Duration{Duration: d} }

// MarshalText returns the duration as a Go duration string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a Go duration string; an empty text means zero, and a number without a unit other than 0 is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		d.Duration = 0
		return nil
	}
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"90s\" or \"1h30m\"", string(text))
	}
	d.Duration = parsed
	return nil
}
