package term

import (
	"cmp"
	"slices"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// maxPartBytes is the size above which a record or a part of one is divided. It is far below the limit of the store, as each change
// of one task group writes its part anew.
const maxPartBytes = 64 << 10

// write is an update on its way to the store.
type write struct {
	update group.Update
	// pieces are written in this order; left counts those that are not durable yet.
	pieces []piece
	left   int
	// stopped is true once a piece failed or was rejected, so that the pieces after it are not sent; postponed is true if the
	// engine has been told so.
	stopped   bool
	postponed bool
}

// piece is what one transaction must hold of a write.
type piece struct {
	of *write
	// key is expected to be as the term knows it, unless it is empty, and is set to data, unless that is nil.
	key  string
	data []byte
	// deletes are keys that are deleted.
	deletes []string
	// head is true for the record itself, as opposed to a part of it.
	head bool
	// divisible is true if the data can be divided into smaller parts.
	divisible bool
}

// entries returns how many entries of a transaction the piece takes.
func (p *piece) entries() int {
	count := len(p.deletes)
	if p.key != "" {
		count++
	}
	if p.data != nil {
		count++
	}
	return count
}

// valueBytes returns the size of the largest value that the store accepts.
func (l *Limits) valueBytes() int {
	return cmp.Or(l.MaxValueBytes, store.DefaultMaxValueBytes)
}

// entries returns the maximum number of entries of a transaction.
func (l *Limits) entries() int {
	return cmp.Or(l.MaxEntries, store.MaxEntries)
}

// prepareWrite encodes an update, and divides its record if that is too large for one value.
func (t *term) prepareWrite(u group.Update) (*write, error) {
	w := &write{update: u}
	if u.Delete {
		w.pieces = t.deletion(u)
	} else if err := t.encode(w); err != nil {
		return nil, err
	}
	w.left = len(w.pieces)
	for i := range w.pieces {
		w.pieces[i].of = w
	}
	return w, nil
}

// encode adds the pieces of a change.
func (t *term) encode(w *write) error {
	u := &w.update
	limit := t.partLimit(u.Job)
	head, err := u.Record.Encode()
	if err != nil {
		return err
	}
	divisible := u.Record.Division == 0
	if divisible && len(head) > limit {
		u.Record.Division, divisible = t.token, false
		u.Parts = []group.ChangedPart{{Part: work.Part{Division: t.token, Groups: u.Record.Groups}}}
		u.Record.Groups = nil
		if head, err = u.Record.Encode(); err != nil {
			return err
		}
	}
	parts, err := t.encodeParts(u, limit)
	if err != nil {
		return err
	}
	if u.Head {
		w.pieces = withHead(parts, t.headPiece(u, head, divisible), u.Record.Phase)
	} else {
		w.pieces = parts
	}
	return nil
}

// withHead adds the piece of the record itself. A final phase comes before the parts: once it is durable, no owner starts a task of
// the job, whatever they show. Other phases come last: a division must not be durable before its parts.
func withHead(parts []piece, head piece, phase work.Phase) []piece {
	if phase.Final() {
		return append([]piece{head}, parts...)
	}
	return append(parts, head)
}

func (t *term) headPiece(u *group.Update, data []byte, divisible bool) piece {
	p := piece{key: work.RecordKey(u.Job), data: data, head: true, divisible: divisible}
	if u.NoLongerPending {
		p.deletes = []string{work.WaitKey(u.Queue, u.Job)}
	}
	return p
}

// encodeParts encodes the changed parts of a divided record, and records where they had to be divided further.
//
// Parts are written in ascending order, so that the end of a step is durable before a start that depends on it. What becomes of one
// part is written in descending order: until a part is written, its groups are read from the one before it, which still has them.
func (t *term) encodeParts(u *group.Update, limit int) ([]piece, error) {
	var pieces []piece
	var starts []int
	for i := range u.Parts {
		parts, err := u.Parts[i].EncodeWithin(limit, u.Parts[i].Starts...)
		if err != nil {
			return nil, err
		}
		for _, part := range slices.Backward(parts) {
			starts = append(starts, part.First)
			pieces = append(pieces, piece{key: work.PartKey(u.Job, part.First), data: part.Data, divisible: part.Count > 1})
		}
	}
	if len(starts) > 0 {
		t.divide(u, starts)
	}
	return pieces, nil
}

// divide records which parts the job's record has.
func (t *term) divide(u *group.Update, starts []int) {
	t.state.Lock()
	defer t.state.Unlock()
	t.engine.Divide(u.Job, u.Record.Division, starts)
	for _, first := range starts {
		t.addPartKey(u.Job, work.PartKey(u.Job, first))
	}
}

// addPartKey notes that the key may exist. The caller holds t.state.
func (t *term) addPartKey(job, key string) {
	if t.partKeys[job] == nil {
		t.partKeys[job] = make(map[string]bool)
	}
	t.partKeys[job][key] = true
}

// partLimit returns the size above which the job's record and its parts are divided.
func (t *term) partLimit(job string) int {
	t.state.Lock()
	defer t.state.Unlock()
	if limit, ok := t.partLimits[job]; ok {
		return limit
	}
	return min(maxPartBytes, t.Limits.valueBytes())
}

// deletion returns the pieces that delete all keys of an ended job. The spec is deleted with the record: without the record, the job
// would begin anew, and without the spec, the record says that the job is known.
func (t *term) deletion(u group.Update) []piece {
	t.state.Lock()
	keys := make([]string, 0, len(t.partKeys[u.Job]))
	for key := range t.partKeys[u.Job] {
		keys = append(keys, key)
	}
	t.state.Unlock()
	slices.Sort(keys)
	var pieces []piece
	for _, key := range keys {
		pieces = append(pieces, piece{deletes: []string{key}})
	}
	return append(pieces,
		piece{deletes: []string{work.WaitKey(u.Queue, u.Job), work.CancelKey(u.Job)}},
		piece{key: work.RecordKey(u.Job), deletes: []string{work.SpecKey(u.Job), work.RecordKey(u.Job)}})
}
