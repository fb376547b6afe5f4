package fleet

// Status is what a database instance says of itself, all read at one moment.
type Status struct {
	Instance Instance `json:"instance"`
	// Promised is the highest term that the instance has accepted. It takes
	// no entries, and as a primary acknowledges none, of a lower term.
	Promised Term `json:"promised"`
	Role     Role `json:"role"`
	// Last is the last entry of the instance's log: its own term, which may be
	// lower than Promised, and its position.
	Last LogPosition `json:"last"`
	// Follows is the instance that a replica copies from.
	Follows Instance `json:"follows,omitempty"`
}
