package fake

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
)

// Workers lists all workers with entries that may be older than their last restart.
func (f *Fleet) Workers(context.Context) ([]group.WorkerInfo, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]group.WorkerInfo, 0, len(f.ids))
	for _, id := range f.ids {
		w := f.workers[id]
		written := w.restarts[0]
		asOf := time.Now().Add(-below(w.rand, f.cfg.MaxListLag))
		for _, restart := range w.restarts {
			if !restart.After(asOf) {
				written = restart
			}
		}
		list = append(list, group.WorkerInfo{
			ID: id, Service: f.cfg.Service, Address: id, DataCentre: "dc", Rack: "r", Capacity: f.cfg.Capacity, Incarnation: written.UnixMilli(),
		})
	}
	return list, nil
}
