package setup

import (
	"fmt"
	"strings"
)

// InvalidSetting is the path and value of a setting that failed a check, and what is allowed instead.
type InvalidSetting struct {
	Path    string
	Value   any
	Allowed string
}

// Validator collects invalid settings, so that they are reported together.
type Validator struct {
	Invalid []InvalidSetting
}

// Check records the setting as invalid unless the condition holds.
func (v *Validator) Check(holds bool, path string, value any, allowed string) {
	if !holds {
		v.Invalid = append(v.Invalid, InvalidSetting{Path: path, Value: value, Allowed: allowed})
	}
}

// Err returns all invalid settings as one *InvalidError, or nil if there are none.
func (v *Validator) Err() error {
	if len(v.Invalid) == 0 {
		return nil
	}
	return &InvalidError{Settings: v.Invalid}
}

// InvalidError reports every invalid setting of a file.
type InvalidError struct {
	Settings []InvalidSetting
}

// Error lists the path, the value and what is allowed, one setting per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Settings)+1)
	lines = append(lines, fmt.Sprintf("%d invalid settings:", len(e.Settings)))
	for _, setting := range e.Settings {
		lines = append(lines, fmt.Sprintf("  %s: %#v is not allowed; allowed: %s", setting.Path, setting.Value, setting.Allowed))
	}
	return strings.Join(lines, "\n")
}
