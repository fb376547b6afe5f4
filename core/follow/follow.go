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

// Version identifies a part's content at one reader. It only saves bytes: of two versions neither is the
// newer one.
type Version uint64

// Revision is a version of the store's whole content. It grows with every change and is the same on all
// hosts, so that it orders all copies of a part.
type Revision uint64

// PartCopy is a copy of one part.
type PartCopy[T any] struct {
	Version Version
	// CompleteTo is the revision up to which the copy lacks no change. Of two copies the one that is
	// complete to a higher revision is the newer one. Zero means that it isn't known.
	CompleteTo Revision
	// ReadAt is a time as of which the copy lacks no change. It tells how old the copy may be, and
	// orders no copies.
	ReadAt time.Time
	// HasBody is set where Body is given. Body is left out for a follower that already has the
	// version.
	HasBody bool
	Body    T
}

// PartCache holds a host's copies of the parts. The zero PartCache is empty.
type PartCache[T any] struct {
	parts map[Part]PartCopy[T]
}

// Put stores a copy with its body. A copy that is complete to a lower revision than the stored one only
// confirms that one: what the store held when the older copy was read, the newer one lacks nothing of.
func (c *PartCache[T]) Put(p Part, o PartCopy[T]) {
	if c.parts == nil {
		c.parts = map[Part]PartCopy[T]{}
	}
	old := c.parts[p]
	read := o.ReadAt
	if old.ReadAt.After(read) {
		read = old.ReadAt
	}
	if o.CompleteTo < old.CompleteTo {
		o = old
	}
	o.ReadAt, o.HasBody = read, true
	c.parts[p] = o
}

// UpdatesFor returns all parts for a follower that has the versions in has, without the bodies that
// the follower already has. It sets has to the versions that the follower has afterwards.
func (c *PartCache[T]) UpdatesFor(has map[Part]Version) map[Part]PartCopy[T] {
	out := make(map[Part]PartCopy[T], len(c.parts))
	for p, part := range c.parts {
		// An empty part may have version zero.
		if v, ok := has[p]; ok && v == part.Version {
			var zero T
			part.HasBody, part.Body = false, zero
		}
		out[p] = part
		has[p] = part.Version
	}
	return out
}
