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

// Drain says that a data centre is out of service.
type Drain struct {
	DataCentre string    `json:"dataCentre"`
	Since      time.Time `json:"since"`
	Deadline   time.Time `json:"deadline"`
}

// Admission says how a workspace's jobs get into the queue.
type Admission struct {
	Workspace string `json:"workspace"`
	// Manual holds each job until an operator admits it.
	Manual bool `json:"manual"`
}

// Document is everything that operators decide.
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

// Parse reads a document from JSON with comments; unknown fields are refused.
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

// Drained returns the drain of a data centre, if there is one.
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

// Engine builds decision state over the whole fleet of the document.
func (d *Document) Engine(policy engine.Policy) (*engine.Engine, error) {
	return engine.New(engine.Config{DataCentres: d.DataCentres, Workspaces: d.Workspaces, Policy: policy, Seed: packingSeed})
}

// packingSeed makes every instance find the same homes for the same document.
const packingSeed = 1

// Validate checks the document as a whole, that all guarantees fit at once included.
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
		for n, promise := range ws.Guarantees {
			if promise.Count < 0 || promise.Members < 1 || promise.Resources.IsZero() {
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

// ForCentre returns the part of the document that the owner of one data centre decides with.
//
// Every guaranteed shape is homed in exactly one data centre that is not drained; each instance works out the same homes.
func (d *Document) ForCentre(centre string, policy engine.Policy) (*engine.Engine, error) {
	whole, err := d.Engine(policy)
	if err != nil {
		return nil, err
	}
	for _, drain := range d.Drains {
		if i, ok := whole.Fleet.DataCentre(drain.DataCentre); ok {
			whole.Drain(i, drain.Deadline, drain.Since)
		}
	}
	return engine.New(engine.Config{
		DataCentres: d.only(centre), Workspaces: d.homedIn(centre, whole), Policy: policy, Seed: packingSeed,
	})
}

func (d *Document) only(centre string) []fleet.DataCentreSpec {
	for _, spec := range d.DataCentres {
		if spec.Name == centre {
			return []fleet.DataCentreSpec{spec}
		}
	}
	return nil
}

// homedIn lists the workspaces that may use the data centre, with the guarantees homed there.
func (d *Document) homedIn(centre string, whole *engine.Engine) []guard.Workspace {
	var local []guard.Workspace
	for _, ws := range d.Workspaces {
		if !allowed(ws, centre) {
			continue
		}
		mine := guard.Workspace{Name: ws.Name, DataCentres: []string{centre}}
		for _, slot := range whole.Guard.Slots {
			if slot.Workspace != ws.Name || len(slot.Home) == 0 {
				continue
			}
			at := whole.Fleet.Workers[slot.Home[0]].DataCentre
			if whole.Fleet.DataCentres[at].Name == centre {
				mine.Guarantees = append(mine.Guarantees, guard.Guarantee{Count: 1, Shape: slot.Shape})
			}
		}
		local = append(local, mine)
	}
	return local
}

func allowed(ws guard.Workspace, centre string) bool {
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

// InvalidError says why a document is refused as a whole.
type InvalidError struct{ Problem string }

// Error gives the problem.
func (e *InvalidError) Error() string { return "configuration refused: " + e.Problem }
