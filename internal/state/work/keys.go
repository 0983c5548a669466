package work

import "strings"

// The keys of the key-value service.
const (
	// SpecPrefix holds what callers asked for: the spec of a job at SpecPrefix + ID, its cancelling at CancelKey.
	SpecPrefix = "in/"
	// RecordPrefix holds the owner's records.
	RecordPrefix = "run/"
	// WaitPrefix holds an empty key for each job that has not begun, by queue.
	WaitPrefix = "wait/"
	// OwnerKey names the instance that decides; its creation revision is the fencing token.
	OwnerKey     = "owner"
	cancelSuffix = "/cancel"
)

// SpecKey is where the job's spec lies.
func SpecKey(job string) string { return SpecPrefix + job }

// RecordKey is where the job's record lies.
func RecordKey(job string) string { return RecordPrefix + job }

// CancelKey exists once a caller has cancelled the job.
func CancelKey(job string) string { return SpecPrefix + job + cancelSuffix }

// WaitKey exists while the job has not begun.
func WaitKey(queue, job string) string { return WaitPrefix + queue + "/" + job }

// ParseWaitKey returns the job of a key below WaitPrefix.
func ParseWaitKey(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// ParseSpecKey splits a key below SpecPrefix into the job and whether it is the cancelling.
func ParseSpecKey(key string) (job string, cancel bool) {
	return strings.CutSuffix(strings.TrimPrefix(key, SpecPrefix), cancelSuffix)
}

// idLength is the number of hexadecimal digits of a job ID.
const jobIDDigits = 16

// ValidID reports whether the text is a job ID.
func ValidID(id string) bool {
	if len(id) != jobIDDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
