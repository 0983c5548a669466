package setup

import (
	"fmt"
	"strings"
)

// Mistake is one wrong setting.
type Mistake struct {
	Path    string
	Value   any
	Allowed string
}

// Report collects mistakes.
type Report struct {
	Mistakes []Mistake
}

// Check adds a mistake unless the condition holds.
func (r *Report) Check(holds bool, path string, value any, allowed string) {
	if !holds {
		r.Mistakes = append(r.Mistakes, Mistake{Path: path, Value: value, Allowed: allowed})
	}
}

// Err returns all mistakes as one error, or nil.
func (r *Report) Err() error {
	if len(r.Mistakes) == 0 {
		return nil
	}
	return &InvalidError{Mistakes: r.Mistakes}
}

// InvalidError lists every wrong setting.
type InvalidError struct {
	Mistakes []Mistake
}

// Error lists path, value and what is allowed, a line each.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Mistakes)+1)
	lines = append(lines, fmt.Sprintf("%d wrong settings:", len(e.Mistakes)))
	for _, m := range e.Mistakes {
		lines = append(lines, fmt.Sprintf("  %s: %#v is not allowed; allowed: %s", m.Path, m.Value, m.Allowed))
	}
	return strings.Join(lines, "\n")
}
