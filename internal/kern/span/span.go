package span

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that reads and writes as a Go duration string such as "1h30m".
type Duration struct {
	time.Duration
}

// Of wraps a time.Duration.
func Of(d time.Duration) Duration { return Duration{Duration: d} }

// MarshalText writes the duration as a Go duration string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a Go duration string; it never accepts a bare number.
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
