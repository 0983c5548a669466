package store

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// transaction is a transaction on the wire.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Writes  []write  `json:"writes"`
	Deletes []string `json:"deletes"`
}

// outcome is the answer to a transaction.
type outcome struct {
	status   int
	revision int64
	items    []json.RawMessage
}

func (p *Port) serveTxn(w http.ResponseWriter, r *http.Request, lost, late bool) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Expected)+len(tx.Writes)+len(tx.Deletes) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := tx.check(); status != 0 {
		w.WriteHeader(status)
		return
	}
	if late {
		p.mu.Lock()
		delay := time.Duration(500+p.rand.IntN(4500)) * time.Millisecond
		p.mu.Unlock()
		time.AfterFunc(delay, func() { p.store.commit(time.Now(), p, &tx) })
		hold(r)
	}
	got := p.store.commit(time.Now(), p, &tx)
	if lost {
		hold(r)
	}
	switch got.status {
	case http.StatusOK:
		reply(w, got.status, map[string]any{"revision": got.revision})
	case http.StatusPreconditionFailed:
		reply(w, got.status, map[string]any{"items": got.items})
	default:
		w.WriteHeader(got.status)
	}
}

// check returns the status for a transaction that is never allowed, or zero.
func (tx *transaction) check() int {
	for _, w := range tx.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden
		}
		if len(w.Value) > maxValueBytes || len(w.Key) > 200 {
			return http.StatusBadRequest
		}
	}
	return 0
}

func (s *Store) commit(now time.Time, p *Port, tx *transaction) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range tx.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return outcome{status: http.StatusNotFound}
		}
	}
	refused, current := false, []json.RawMessage{}
	for _, x := range tx.Expected {
		i := s.items[x.Key]
		if i == nil {
			refused = refused || x.Revision != 0
			continue
		}
		refused = refused || x.Revision != i.Revision
		current = append(current, i.view(p.dc))
	}
	if refused {
		return outcome{status: http.StatusPreconditionFailed, items: current}
	}
	for n := range tx.Writes {
		if s.Views != nil {
			tx.Writes[n].views = s.Views(tx.Writes[n].Value)
		}
	}
	revision := s.apply(now, tx.Writes, tx.Deletes)
	if s.OnCommit != nil {
		var keys []string
		for _, w := range tx.Writes {
			keys = append(keys, w.Key)
		}
		s.OnCommit(p.instance, keys, tx.Deletes)
	}
	return outcome{status: http.StatusOK, revision: revision}
}
