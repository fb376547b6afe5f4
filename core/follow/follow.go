// Package follow decides how the hosts of a large fleet learn what stands in the platform's store
// without each asking it.
//
// Some hosts of each data centre, the readers, are registered in the store and read it; the others
// follow one of them, which passes on what it reads and when its registration was last renewed.
// What a fleet asks the store then grows with its data centres, not with its hosts.
package follow

import "time"

// Part names a part of the store's content.
type Part string

// The parts that readers pass on.
const (
	PartCatalog   Part = "catalog"
	PartInstances Part = "instances"
	PartRecords   Part = "records"
	PartHosts     Part = "hosts"
)

// Version tells one content of a part from another; zero is none.
type Version uint64

// PartCopy is one part as a reader has it.
type PartCopy[T any] struct {
	Version Version
	// Read is when the reader began to read it.
	Read time.Time
	// HasBody is set where Body is given: it is left out for a follower that has the version.
	HasBody bool
	Body    T
}

// PartCache are the parts as a reader has them. The zero PartCache has none.
type PartCache[T any] struct {
	parts map[Part]PartCopy[T]
}

// Put takes in a part as it was read at some moment. A reading that was begun before the last one
// changes nothing.
func (c *PartCache[T]) Put(p Part, v Version, read time.Time, body T) {
	if c.parts == nil {
		c.parts = map[Part]PartCopy[T]{}
	}
	if old, ok := c.parts[p]; ok && read.Before(old.Read) {
		return
	}
	c.parts[p] = PartCopy[T]{Version: v, Read: read, HasBody: true, Body: body}
}

// UpdatesFor returns the parts for a follower that has some versions, and notes in has what it then has.
func (c *PartCache[T]) UpdatesFor(has map[Part]Version) map[Part]PartCopy[T] {
	out := make(map[Part]PartCopy[T], len(c.parts))
	for p, o := range c.parts {
		if has[p] == o.Version {
			var none T
			o.HasBody, o.Body = false, none
		}
		out[p] = o
		has[p] = o.Version
	}
	return out
}
