package fleet

// Status is a database instance's report about itself. All fields are read at the same time.
type Status struct {
	Instance Instance `json:"instance"`
	// Promised is the highest term that the instance has accepted. The instance
	// accepts no log entries of a lower term, and as a primary acknowledges none.
	Promised Term `json:"promised"`
	Role     Role `json:"role"`
	// Last is the position of the last entry of the instance's log. The entry's term
	// may be lower than Promised.
	Last LogPosition `json:"last"`
	// Follows is the instance that a replica replicates from.
	Follows Instance `json:"follows,omitempty"`
}
