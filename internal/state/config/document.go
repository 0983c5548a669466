package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/tailscale/hujson"
)

// Drain takes a data centre out of service; Deadline is when its work must have stopped.
type Drain struct {
	DataCentre string    `json:"dataCentre"`
	Since      time.Time `json:"since"`
	Deadline   time.Time `json:"deadline"`
}

// Admission sets how a workspace's jobs enter the queue.
type Admission struct {
	Workspace string `json:"workspace"`
	// Manual is true if each job is held until an operator admits it.
	Manual bool `json:"manual"`
}

// Document is the whole configuration that operators set.
type Document struct {
	Revision    int64                  `json:"revision"`
	By          string                 `json:"by"`
	Command     string                 `json:"command"`
	At          time.Time              `json:"at"`
	DataCentres []fleet.DataCentreSpec `json:"dataCentres"`
	Workspaces  []guard.Workspace      `json:"workspaces"`
	Admissions  []Admission            `json:"admissions,omitempty"`
	Drains      []Drain                `json:"drains,omitempty"`
}

// Parse decodes a document from JSON with comments; it returns an InvalidError for unknown fields and syntax errors.
func Parse(source []byte) (*Document, error) {
	standard, err := hujson.Standardize(append([]byte(nil), source...))
	if err != nil {
		return nil, &InvalidError{Problem: err.Error()}
	}
	var doc Document
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return nil, &InvalidError{Problem: err.Error()}
	}
	return &doc, nil
}

// Drained returns the drain of a data centre; the result is false if it is not drained.
func (d *Document) Drained(centre string) (Drain, bool) {
	for _, drain := range d.Drains {
		if drain.DataCentre == centre {
			return drain, true
		}
	}
	return Drain{}, false
}

// Manual reports whether the workspace's jobs are held until admitted.
func (d *Document) Manual(workspace string) bool {
	for _, admission := range d.Admissions {
		if admission.Workspace == workspace {
			return admission.Manual
		}
	}
	return false
}

// Engine returns a decision engine over the whole fleet of the document.
func (d *Document) Engine(policy engine.Policy) (*engine.Engine, error) {
	return engine.New(engine.Config{DataCentres: d.DataCentres, Workspaces: d.Workspaces, Policy: policy, Seed: packingSeed})
}

// packingSeed is fixed so that every instance computes the same homes for the same document.
const packingSeed = 1

// Validate checks the whole document, including that all guarantees fit at the same time; it returns an InvalidError.
func (d *Document) Validate(policy engine.Policy) error {
	if len(d.DataCentres) == 0 {
		return &InvalidError{Problem: "dataCentres: at least one is needed"}
	}
	seen := make(map[string]bool)
	for i, ws := range d.Workspaces {
		if ws.Name == "" || seen[ws.Name] {
			return &InvalidError{Problem: fmt.Sprintf("workspaces[%d].name: %q must be unique and not empty", i, ws.Name)}
		}
		seen[ws.Name] = true
		for n, guarantee := range ws.Guarantees {
			if guarantee.Count < 0 || guarantee.Members < 1 || guarantee.Resources.IsZero() {
				return &InvalidError{Problem: fmt.Sprintf("workspaces[%d].guarantees[%d]: count must not be negative, members must be 1 or more, and some capacity is needed", i, n)}
			}
		}
	}
	e, err := d.Engine(policy)
	if err != nil {
		return &InvalidError{Problem: err.Error()}
	}
	for i, drain := range d.Drains {
		if _, ok := e.Fleet.DataCentre(drain.DataCentre); !ok {
			return &InvalidError{Problem: fmt.Sprintf("drains[%d]: there is no data centre %q", i, drain.DataCentre)}
		}
	}
	return nil
}

// ForCentre returns the decision engine of one data centre's owner.
//
// Every guaranteed shape has its home in exactly one data centre that is not drained; all instances compute the same homes.
func (d *Document) ForCentre(centre string, policy engine.Policy) (*engine.Engine, error) {
	fullEngine, err := d.Engine(policy)
	if err != nil {
		return nil, err
	}
	for _, drain := range d.Drains {
		if i, ok := fullEngine.Fleet.DataCentre(drain.DataCentre); ok {
			fullEngine.Drain(i, drain.Deadline, drain.Since)
		}
	}
	return engine.New(engine.Config{
		DataCentres: d.specOf(centre), Workspaces: d.workspacesHomedIn(centre, fullEngine), Policy: policy, Seed: packingSeed,
	})
}

func (d *Document) specOf(centre string) []fleet.DataCentreSpec {
	for _, spec := range d.DataCentres {
		if spec.Name == centre {
			return []fleet.DataCentreSpec{spec}
		}
	}
	return nil
}

// workspacesHomedIn returns the workspaces that may use the data centre, each with the guarantees that are homed there.
func (d *Document) workspacesHomedIn(centre string, fullEngine *engine.Engine) []guard.Workspace {
	var local []guard.Workspace
	for _, ws := range d.Workspaces {
		if !mayUse(ws, centre) {
			continue
		}
		localWorkspace := guard.Workspace{Name: ws.Name, DataCentres: []string{centre}}
		for _, slot := range fullEngine.Guard.Slots {
			if slot.Workspace != ws.Name || len(slot.Home) == 0 {
				continue
			}
			at := fullEngine.Fleet.Workers[slot.Home[0]].DataCentre
			if fullEngine.Fleet.DataCentres[at].Name == centre {
				localWorkspace.Guarantees = append(localWorkspace.Guarantees, guard.Guarantee{Count: 1, Shape: slot.Shape})
			}
		}
		local = append(local, localWorkspace)
	}
	return local
}

func mayUse(ws guard.Workspace, centre string) bool {
	if len(ws.DataCentres) == 0 {
		return true
	}
	for _, name := range ws.DataCentres {
		if name == centre {
			return true
		}
	}
	return false
}

// InvalidError reports why a document was refused; no part of it is applied.
type InvalidError struct{ Problem string }

// Error describes the problem.
func (e *InvalidError) Error() string { return "configuration refused: " + e.Problem }
