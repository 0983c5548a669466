package event

import "sync"

// Dependency logs when something that is used repeatedly begins to fail and when it works again, once each.
type Dependency struct {
	Log  *Log
	Lost Kind
	Back Kind
	// Fields are added to both lines.
	Fields Fields

	mu      sync.Mutex
	failing bool
}

// ListReads returns the Dependency for reads of a list; the name is that of what it lists.
func ListReads(log *Log, name string) *Dependency {
	return &Dependency{Log: log, Lost: ListLost, Back: ListBack, Fields: Fields{"list": name}}
}

// Report logs the result of one use if the one before it had the other result.
func (d *Dependency) Report(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil && !d.failing:
		fields := Fields{"error": err.Error()}
		for key, value := range d.Fields {
			fields[key] = value
		}
		d.Log.Emit(d.Lost, fields)
	case err == nil && d.failing:
		d.Log.Emit(d.Back, d.Fields)
	}
	d.failing = err != nil
}
