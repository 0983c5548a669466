package term

import (
	"errors"
	"fmt"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// storedRecord is what the store holds of a job's record.
type storedRecord struct {
	// head is nil if there is none.
	head *work.Record
	// parts are in ascending order; those of other divisions remain where an earlier owner was lost while it divided the record.
	parts []*work.Part
	// headErr and partsErr are why the head or parts can't be decoded.
	headErr  error
	partsErr error
}

// decodeRecords returns the records by job, and remembers the revisions of all keys. Records that can't be decoded are logged; they
// do not keep others from being loaded. The caller holds t.state.
func (t *term) decodeRecords(items []store.Item) map[string]*storedRecord {
	records := make(map[string]*storedRecord)
	for _, item := range items {
		job, _, isPart := work.ParseRecordKey(item.Key)
		record := records[job]
		if record == nil {
			record = &storedRecord{}
			records[job] = record
		}
		t.revisions[item.Key] = item.Revision
		if isPart {
			t.addPartKey(job, item.Key)
		}
		if err := record.add(item, isPart); err != nil {
			t.Log.Emit(event.RecordBad, event.Fields{"key": item.Key, "error": err.Error()})
		}
	}
	return records
}

func (r *storedRecord) add(item store.Item, isPart bool) error {
	if !isPart {
		r.head, r.headErr = work.DecodeRecord(item.Data)
		return r.headErr
	}
	part, err := work.DecodePart(item.Data)
	if err != nil {
		r.partsErr = errors.Join(r.partsErr, err)
		return err
	}
	r.parts = append(r.parts, part)
	return nil
}

// join returns the record of a job with count task groups, nil if the job has none: parts without a record were written by an owner
// that was lost before it could start anything.
//
// Parts of an ended job may have been deleted already, and its tasks never start again, so their groups are empty then.
func (r *storedRecord) join(count int) (*work.Record, error) {
	if r == nil || r.head == nil && r.headErr == nil {
		return nil, nil
	}
	if r.headErr != nil {
		return nil, r.headErr
	}
	record, err := r.head, error(nil)
	if record.Division != 0 {
		record.Groups, record.Parts, err = work.Join(r.partsOf(record.Division), count)
		err = errors.Join(r.partsErr, err)
	}
	if err == nil && len(record.Groups) != count {
		err = fmt.Errorf("job: the stored record has %d task groups, the job %d", len(record.Groups), count)
	}
	switch {
	case err == nil:
		return record, nil
	case !record.Phase.Final():
		return nil, err
	case record.Division == 0:
		record.Groups = make([]work.GroupRecord, count)
	case len(record.Parts) == 0 || record.Parts[0] != 0:
		record.Parts = append([]int{0}, record.Parts...)
	}
	return record, nil
}

// partsOf returns the parts of the division.
func (r *storedRecord) partsOf(division int64) (parts []*work.Part) {
	for _, part := range r.parts {
		if part.Division == division {
			parts = append(parts, part)
		}
	}
	return parts
}
