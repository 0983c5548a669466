package work

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Part holds the records of consecutive task groups of a job whose record is divided.
type Part struct {
	// Division is that of the job's record; a part of another division is not used.
	Division int64 `cbor:"1,keyasint"`
	// First is the index of the first group.
	First  int           `cbor:"2,keyasint"`
	Groups []GroupRecord `cbor:"3,keyasint"`
}

// The encoding writes fields by number, and keeps texts of any bytes as they are.
var (
	partEncoding = newPartEncoding()
	partDecoding = newPartDecoding()
)

func newPartEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("work: options of the encoding of parts: " + err.Error())
	}
	return mode
}

func newPartDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: 2 * MaxTasks}.DecMode()
	if err != nil {
		panic("work: options of the decoding of parts: " + err.Error())
	}
	return mode
}

// Encode returns the stored form, CBOR.
func (p *Part) Encode() ([]byte, error) { return partEncoding.Marshal(p) }

// DecodePart decodes the stored form.
func DecodePart(data []byte) (*Part, error) {
	p := new(Part)
	if err := partDecoding.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("job: stored part of a record: %w", err)
	}
	if p.First < 0 {
		return nil, fmt.Errorf("job: stored part of a record begins with group %d", p.First)
	}
	return p, nil
}

// EncodedPart is the stored form of a part of Count groups from First on.
type EncodedPart struct {
	First int
	Count int
	Data  []byte
}

// EncodeWithin returns the stored forms of the part's groups, in as many parts as keep each within limit bytes. A group that is larger
// by itself is a part of its own. The given groups, in ascending order, begin a part in any case.
//
// A part that has to be divided is filled to half of the limit, so that it need not be divided again soon.
func (p *Part) EncodeWithin(limit int, starts ...int) ([]EncodedPart, error) {
	if len(starts) > 0 {
		return p.encodeFrom(limit, starts)
	}
	data, err := p.Encode()
	if err != nil {
		return nil, err
	}
	if len(data) <= limit || len(p.Groups) == 1 {
		return []EncodedPart{{First: p.First, Count: len(p.Groups), Data: data}}, nil
	}
	var parts []EncodedPart
	for next := 0; next < len(p.Groups); {
		piece := p.between(next, next+countWithin(p.Groups[next:], limit/2))
		if data, err = piece.Encode(); err != nil {
			return nil, err
		}
		parts = append(parts, EncodedPart{First: piece.First, Count: len(piece.Groups), Data: data})
		next += len(piece.Groups)
	}
	return parts, nil
}

// encodeFrom encodes the part with others that begin with the given groups.
func (p *Part) encodeFrom(limit int, starts []int) (parts []EncodedPart, err error) {
	for i, next := 0, 0; i <= len(starts); i++ {
		end := len(p.Groups)
		if i < len(starts) {
			end = starts[i] - p.First
		}
		piece := p.between(next, end)
		encoded, err := piece.EncodeWithin(limit)
		if err != nil {
			return nil, err
		}
		parts = append(parts, encoded...)
		next = end
	}
	return parts, nil
}

// between returns a part of the groups from one index within the part to another.
func (p *Part) between(from, to int) Part {
	return Part{Division: p.Division, First: p.First + from, Groups: p.Groups[from:to]}
}

// Upper bounds of encoded sizes in bytes; a number or the length of a text takes nine at most.
const (
	partBytes    = 64
	groupBytes   = 96
	crashesBytes = 48
	textBytes    = 9
	numberBytes  = 9
)

// countWithin returns how many of the groups, at least one, certainly fit into a part of limit bytes.
func countWithin(groups []GroupRecord, limit int) int {
	size := partBytes
	for i := range groups {
		if size += groups[i].maxBytes(); size > limit {
			return max(i, 1)
		}
	}
	return len(groups)
}

// maxBytes returns an upper bound of the encoded size.
func (g *GroupRecord) maxBytes() int {
	size := groupBytes + len(g.Checkpoint) + len(g.StartedFrom) + len(g.Crashes)*crashesBytes + len(g.Incarnations)*numberBytes
	for _, names := range [][]string{g.FailedOn, g.Workers} {
		for _, name := range names {
			size += textBytes + len(name)
		}
	}
	return size
}

// Bounds of what workers add to a record.
const (
	// MaxCheckpointBytes is the size of the longest checkpoint that is kept.
	MaxCheckpointBytes = 4000
	// MaxWorkerIDBytes is the size of the longest ID of a worker.
	MaxWorkerIDBytes = 200
)

// MaxPartBytes returns an upper bound of the size of a part with one task group of the given number of tasks, with or without
// checkpoints.
func MaxPartBytes(tasks int, checkpoints bool) int {
	const worker = textBytes + MaxWorkerIDBytes
	size := partBytes + groupBytes + MaxFailedOn*worker + tasks*(worker+numberBytes+crashesBytes)
	if checkpoints {
		size += 2 * MaxCheckpointBytes
	}
	return size
}

// Join returns the records of count task groups from their parts, in ascending order of their first groups, and the first groups of
// the parts that hold them. A group that is in two parts is taken from the later one: a part that was divided may not have been
// written again. It returns an error if a group is in no part; its record is then empty.
func Join(parts []*Part, count int) (groups []GroupRecord, starts []int, err error) {
	groups = make([]GroupRecord, count)
	next := 0
	for _, p := range parts {
		if p.First > next {
			err = errors.Join(err, &MissingGroupsError{First: next, Count: p.First - next})
		}
		if p.First >= count {
			break
		}
		starts = append(starts, p.First)
		copy(groups[p.First:], p.Groups)
		next = max(next, p.First+len(p.Groups))
	}
	if next < count {
		err = errors.Join(err, &MissingGroupsError{First: next, Count: count - next})
	}
	return groups, starts, err
}

// MissingGroupsError means that the records of task groups are in no part.
type MissingGroupsError struct{ First, Count int }

// Error names the first group and their number.
func (e *MissingGroupsError) Error() string {
	return fmt.Sprintf("job: the stored parts of the record lack %d task groups from %d on", e.Count, e.First)
}
