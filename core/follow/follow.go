// Package follow decides how the hosts of a large fleet learn the content of the platform's store
// without each of them reading it.
//
// Some hosts of each data centre, the readers, are registered in the store and read it. The other
// hosts each follow one of them: the reader passes on what it reads, and when its registration was
// last renewed. The number of calls to the store then grows with the data centres, not with the
// hosts.
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

// Version identifies a part's content. Zero means no content.
type Version uint64

// PartCopy is a reader's copy of one part.
type PartCopy[T any] struct {
	Version Version
	// ReadAt is when the reader began to read the part.
	ReadAt time.Time
	// HasBody is set where Body is given. Body is left out for a follower that already has the
	// version.
	HasBody bool
	Body    T
}

// PartCache holds a reader's copies of the parts. The zero PartCache is empty.
type PartCache[T any] struct {
	parts map[Part]PartCopy[T]
}

// Put stores a part that was read at read. A copy whose reading began before that of the stored one
// is ignored.
func (c *PartCache[T]) Put(p Part, v Version, read time.Time, body T) {
	if c.parts == nil {
		c.parts = map[Part]PartCopy[T]{}
	}
	if old, ok := c.parts[p]; ok && read.Before(old.ReadAt) {
		return
	}
	c.parts[p] = PartCopy[T]{Version: v, ReadAt: read, HasBody: true, Body: body}
}

// UpdatesFor returns all parts for a follower that has the versions in has, without the bodies that
// the follower already has. It sets has to the versions that the follower has afterwards.
func (c *PartCache[T]) UpdatesFor(has map[Part]Version) map[Part]PartCopy[T] {
	out := make(map[Part]PartCopy[T], len(c.parts))
	for p, part := range c.parts {
		if has[p] == part.Version {
			var zero T
			part.HasBody, part.Body = false, zero
		}
		out[p] = part
		has[p] = part.Version
	}
	return out
}
