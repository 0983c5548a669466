package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of one line; reading fails on a longer one.
const maxLineBytes = 4 << 20

// Line is one decoded log line of an instance and the text before its JSON object.
type Line struct {
	Message string         `json:"message"`
	Level   string         `json:"level"`
	Time    time.Time      `json:"timestamp"`
	Fields  map[string]any `json:"fields"`
	Prefix  string         `json:"-"`
}

// Text returns the field as text, or an empty string if it is missing or no text.
func (l *Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Number returns the field as a number, or zero if it is missing or no number.
func (l *Line) Number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}

// Duration returns the field as a duration, or zero if it is missing or no duration.
func (l *Line) Duration(name string) time.Duration {
	duration, err := time.ParseDuration(l.Text(name))
	if err != nil {
		// A field that was left out is zero as well.
		return 0
	}
	return duration
}

// BadLine is a line that can't be decoded.
type BadLine struct {
	// Number counts the lines of the input from one.
	Number int
	Cause  error
}

// Error names the line and the cause.
func (e *BadLine) Error() string { return fmt.Sprintf("line %d: %v", e.Number, e.Cause) }

// Scan decodes the lines for which wanted returns true and passes them to visit; it returns those that begin like a log line
// and can't be decoded. Text before the JSON object, such as the time and host that a log collector adds, is skipped, and so
// are lines without an object.
func Scan(in io.Reader, wanted func(text string) bool, visit func(Line)) ([]BadLine, error) {
	var bad []BadLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Text()
		start := strings.Index(text, `{"`)
		if start < 0 || !wanted(text) {
			continue
		}
		line := Line{Prefix: strings.TrimSpace(text[:start])}
		if err := json.Unmarshal([]byte(text[start:]), &line); err != nil {
			bad = append(bad, BadLine{Number: number, Cause: err})
			continue
		}
		visit(line)
	}
	return bad, scanner.Err()
}
