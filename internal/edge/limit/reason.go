package limit

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Reason -transform=title-lower

// Reason is why a request was refused or a connection closed.
type Reason int

// The reasons. The first five are answered: 413, 503, 503, 408 and 415.
const (
	// BodyTooLarge is a body above the limit for one.
	BodyTooLarge Reason = iota
	// NoRoom is a body for which the budget had no room.
	NoRoom
	// BodyDisplaced is a body that arrived slowly and gave way to another.
	BodyDisplaced
	// BodyTimeout is a body that did not arrive in time or not completely.
	BodyTimeout
	// BadEncoding is a compressed body that can't be decoded.
	BadEncoding
	// BadHeader is a header that did not arrive in time, is too large or can't be read.
	BadHeader
	// ConnectionDisplaced is a connection without a complete request that gave way to a new one.
	ConnectionDisplaced
	// ConnectionRefused is a new connection while all others had requests in progress.
	ConnectionRefused
)
