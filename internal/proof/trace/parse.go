package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
)

// LineError is a mistake in one line of a trace; Field is empty if the mistake is not in one field.
type LineError struct {
	Line    int
	Field   string
	Problem string
}

// Error returns the line, the field if there is one, and the problem.
func (e *LineError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: field %q: %s", e.Line, e.Field, e.Problem)
}

// reader parses a trace line by line and checks each event against the lines before it.
type reader struct {
	trace      Trace
	line       int
	fleet      *fleet.Fleet
	workspaces map[string]bool
	jobs       map[string]bool
	last       time.Duration
	ended      bool
}

// Read parses and checks a whole trace; it returns a LineError and no trace at the first mistake.
func Read(source io.Reader) (*Trace, error) {
	r := &reader{workspaces: make(map[string]bool), jobs: make(map[string]bool)}
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		r.line++
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := r.readLine(text); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, &LineError{Line: r.line + 1, Problem: err.Error()}
	}
	if r.fleet == nil {
		return nil, &LineError{Line: 1, Problem: "the trace has no header"}
	}
	return &r.trace, nil
}

func (r *reader) readLine(text []byte) error {
	if r.fleet == nil {
		return r.readHeader(text)
	}
	var at At
	if err := json.Unmarshal(text, &at); err != nil {
		return r.wrapDecodeError(err)
	}
	event, err := r.decode(at.Kind, text)
	if err != nil {
		return err
	}
	switch {
	case r.ended:
		return r.lineError("kind", "no event may follow the end event")
	case event.When() < 0:
		return r.lineError("at", "must not be negative")
	case event.When() < r.last:
		return r.lineError("at", fmt.Sprintf("%s is earlier than the previous event (%s); events must be in order of time", event.When(), r.last))
	}
	r.last = event.When()
	_, r.ended = event.(End)
	r.trace.Events = append(r.trace.Events, event)
	return nil
}

func (r *reader) readHeader(text []byte) error {
	h := &r.trace.Header
	if err := r.decodeStrict(text, h); err != nil {
		return err
	}
	if h.Kind != kindHeader {
		return r.lineError("kind", fmt.Sprintf("the first line must be the header, not %q", h.Kind))
	}
	if h.Version != headerVersion {
		return r.lineError("version", fmt.Sprintf("version %d is not supported; this release reads version %d", h.Version, headerVersion))
	}
	f, err := fleet.New(h.DataCentres)
	if err != nil {
		return r.lineError("dataCentres", err.Error())
	}
	for _, ws := range h.Workspaces {
		if ws.Name == "" || r.workspaces[ws.Name] {
			return r.lineError("workspaces", fmt.Sprintf("name %q must be unique and not empty", ws.Name))
		}
		r.workspaces[ws.Name] = true
		for _, guarantee := range ws.Guarantees {
			if guarantee.Count < 0 || guarantee.Members < 1 || guarantee.Resources.IsZero() {
				return r.lineError("guarantees", fmt.Sprintf("workspace %q: count must not be negative, members must be 1 or more, and some capacity is needed", ws.Name))
			}
		}
	}
	if _, err := guard.New(f, h.Workspaces, h.Seed); err != nil {
		return r.lineError("guarantees", err.Error())
	}
	r.fleet = f
	return nil
}

func (r *reader) decode(kind string, text []byte) (Event, error) {
	switch kind {
	case kindSubmit:
		return r.decodeSubmit(text)
	case kindCancel:
		var e Cancel
		if err := r.decodeStrict(text, &e); err != nil {
			return nil, err
		}
		if !r.jobs[e.Job] {
			return nil, r.lineError("job", fmt.Sprintf("job %q has not been submitted", e.Job))
		}
		return e, nil
	case kindDrain:
		var e Drain
		if err := r.decodeStrict(text, &e); err != nil {
			return nil, err
		}
		if e.Deadline.Duration < 0 {
			return nil, r.lineError("deadline", "must not be negative")
		}
		return e, r.checkCentre(e.DataCentre, false)
	case KindRestore, KindDataCentreDown, KindDataCentreUp, KindOwnerLost, KindStoreDown, KindStoreUp:
		var e DataCentreChange
		if err := r.decodeStrict(text, &e); err != nil {
			return nil, err
		}
		return e, r.checkCentre(e.DataCentre, kind == KindStoreDown || kind == KindStoreUp)
	case KindWorkerDown, KindWorkerUp, KindWorkerBad, KindWorkerGood:
		return r.decodeWorker(text)
	case kindEnd:
		var e End
		if err := r.decodeStrict(text, &e); err != nil {
			return nil, err
		}
		return e, nil
	default:
		return nil, r.lineError("kind", fmt.Sprintf("unknown kind %q", kind))
	}
}

func (r *reader) decodeSubmit(text []byte) (Event, error) {
	var e Submit
	if err := r.decodeStrict(text, &e); err != nil {
		return nil, err
	}
	switch {
	case e.Job == "":
		return nil, r.lineError("job", "must not be empty")
	case r.jobs[e.Job]:
		return nil, r.lineError("job", fmt.Sprintf("job %q was already submitted", e.Job))
	case !r.workspaces[e.Workspace]:
		return nil, r.lineError("workspace", fmt.Sprintf("workspace %q does not exist", e.Workspace))
	case e.Members < 1:
		return nil, r.lineError("members", "must be 1 or more")
	case e.Accelerators < 0 || e.Cores < 0 || e.MemoryGB < 0:
		return nil, r.lineError("accelerators", "accelerators, cores and memoryGB must not be negative")
	case e.Actual.Duration <= 0:
		return nil, r.lineError("actual", "must be more than 0s")
	case e.Declared.Duration < 0 || e.CheckpointEvery.Duration < 0 || e.CheckpointTakes.Duration < 0 || e.FailsAfter.Duration < 0:
		return nil, r.lineError("declared", "declared, checkpointEvery, checkpointTakes and failsAfter must not be negative")
	}
	r.jobs[e.Job] = true
	return e, nil
}

func (r *reader) decodeWorker(text []byte) (Event, error) {
	var e WorkerChange
	if err := r.decodeStrict(text, &e); err != nil {
		return nil, err
	}
	if _, ok := r.fleet.Worker(e.Worker); !ok {
		return nil, r.lineError("worker", fmt.Sprintf("worker %q does not exist", e.Worker))
	}
	return e, nil
}

func (r *reader) checkCentre(name string, optional bool) error {
	if name == "" && optional {
		return nil
	}
	if _, ok := r.fleet.DataCentre(name); !ok {
		return r.lineError("dataCentre", fmt.Sprintf("data centre %q does not exist", name))
	}
	return nil
}

// decodeStrict decodes one line and rejects fields that its kind does not have.
func (r *reader) decodeStrict(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return r.wrapDecodeError(err)
	}
	if decoder.More() {
		return r.lineError("", "a line must hold exactly one JSON object")
	}
	return nil
}

func (r *reader) lineError(field, problem string) error {
	return &LineError{Line: r.line, Field: field, Problem: problem}
}

// wrapDecodeError turns an error of the JSON decoder into a LineError that names the field, if the error does.
func (r *reader) wrapDecodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return r.lineError(typeError.Field, fmt.Sprintf("a JSON %s is not allowed here", typeError.Value))
	}
	if _, rest, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return r.lineError(strings.Trim(rest, `"`), "unknown field")
	}
	return r.lineError("", err.Error())
}
