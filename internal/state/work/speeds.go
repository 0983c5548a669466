package work

import (
	"encoding/json"
	"fmt"
)

// SpeedRecord has the speeds of workers that an owner has learned.
type SpeedRecord struct {
	// Token is that of the owner.
	Token int64 `json:"token"`
	// Workers has the speeds by worker.
	Workers map[string]RecordedSpeed `json:"workers"`
}

// RecordedSpeed is the speed of one incarnation of a worker.
type RecordedSpeed struct {
	Incarnation int64 `json:"i"`
	// Speed is relative to the average, in percent; Certainty is the share of it that stems from samples, in percent.
	Speed     int `json:"s"`
	Certainty int `json:"c"`
}

// Valid reports whether the speed is one that an owner records. Owners take samples from half to twice the average.
func (s RecordedSpeed) Valid() bool {
	return s.Incarnation != 0 && s.Speed >= 50 && s.Speed <= 200 && s.Certainty > 0 && s.Certainty <= 100
}

// Encode returns the stored form, JSON.
func (r *SpeedRecord) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeSpeedRecord decodes the stored form.
func DecodeSpeedRecord(data []byte) (*SpeedRecord, error) {
	r := new(SpeedRecord)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("job: stored record of speeds: %w", err)
	}
	return r, nil
}

// speedEntryBytes is an upper bound of what a worker adds to the stored form beside its ID.
const speedEntryBytes = 56

// SpeedEntrySize is an upper bound of the stored size of a worker's entry.
func SpeedEntrySize(worker string) int { return speedEntryBytes + 2*len(worker) }
