package work

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and key prefixes in the key-value store.
const (
	// SpecPrefix is the prefix of callers' requests: the spec of a job at SpecKey, its cancellation at CancelKey.
	SpecPrefix = "in/"
	// RecordPrefix is the prefix of the owner's records of jobs.
	RecordPrefix = "run/"
	// WaitPrefix is the prefix of an empty value for each job that has not started, by queue.
	WaitPrefix = "wait/"
	// OwnerKey holds the name of the owner, the instance that decides; its creation revision is the fencing token.
	OwnerKey = "owner"
	// LeasesKey holds the LeaseRecord.
	LeasesKey = "leases"
	// SpeedsKey holds the SpeedRecord.
	SpeedsKey = "speeds"
	// SizesKey holds the largest capacities that workers have had, by service.
	SizesKey     = "sizes"
	cancelSuffix = "/cancel"
)

// SpecKey returns the key of the job's spec.
func SpecKey(job string) string { return SpecPrefix + job }

// RecordKey returns the key of the job's record.
func RecordKey(job string) string { return RecordPrefix + job }

// PartKey returns the key of the part of the job's record that begins with the task group first. Keys sort as their groups do.
func PartKey(job string, first int) string { return fmt.Sprintf("%s%s/%05d", RecordPrefix, job, first) }

// ParseRecordKey returns the job of a key below RecordPrefix, and for the key of a part the part's first task group and true.
func ParseRecordKey(key string) (job string, first int, part bool) {
	job, text, part := strings.Cut(strings.TrimPrefix(key, RecordPrefix), "/")
	if first, err := strconv.Atoi(text); err == nil {
		return job, first, part
	}
	return job, 0, part
}

// CancelKey returns the key that exists once a caller has cancelled the job.
func CancelKey(job string) string { return SpecPrefix + job + cancelSuffix }

// WaitKey returns the key that exists while the job has not started.
func WaitKey(queue, job string) string { return WaitPrefix + queue + "/" + job }

// ParseWaitKey returns the job of a key below WaitPrefix.
func ParseWaitKey(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// ParseSpecKey returns the job of a key below SpecPrefix, and whether the key is the job's CancelKey.
func ParseSpecKey(key string) (job string, cancel bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, SpecPrefix), cancelSuffix)
}

// IDLength is the number of hexadecimal digits of a job ID.
const IDLength = 16

// ValidID reports whether the text is a job ID.
func ValidID(id string) bool {
	if len(id) != IDLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
