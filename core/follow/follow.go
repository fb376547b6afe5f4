// Package follow decides how the hosts of a large fleet learn the content of the platform's store
// without each of them reading it.
//
// Some hosts of each data centre, the readers, are registered in the store and read it. The other
// hosts each follow one of them: the reader passes on what it reads, and when its registration was
// last renewed. The number of calls to the store then grows with the data centres, not with the
// hosts.
package follow

import (
	"maps"
	"slices"
	"time"
)

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
	// ChangesOnly is set where Body has only what has changed since version Base.
	ChangesOnly bool
	Base        Version
	// Encoded keeps Body as it is sent, so that it is encoded once for all followers. It may be nil.
	Encoded *Encoded
}

// Encoded is a body as it is sent, empty until it was encoded.
type Encoded struct{ Bytes []byte }

// PartCache holds a host's copies of the parts. The zero PartCache is empty.
type PartCache[T any] struct {
	// Diff returns the changes from one body of a part to another one, and false if a copy with all of it is
	// smaller. It may be nil; then all copies have all of it, and no earlier bodies are kept.
	Diff func(from, to T) (changes T, smaller bool)

	parts map[Part]PartCopy[T]
	// former are the bodies of each part before its current one, the latest last.
	former map[Part][]formerBody[T]
}

// formerBody is an earlier body of a part.
type formerBody[T any] struct {
	version Version
	body    T
	// changes are those from this body to the current one, once compared is set; useful tells whether they are
	// smaller.
	changes          T
	encoded          *Encoded
	compared, useful bool
}

// maxFormerBodies is from how many earlier versions of a part a follower gets changes. One that is further behind
// gets all of it, as after a start.
const maxFormerBodies = 8

// Put stores a copy with its body. A copy that is complete to a lower revision than the stored one only
// confirms that one: what the store held when the older copy was read, the newer one lacks nothing of.
func (c *PartCache[T]) Put(p Part, o PartCopy[T]) {
	if c.parts == nil {
		c.parts = map[Part]PartCopy[T]{}
	}
	old := c.parts[p]
	read := o.ReadAt
	o.Encoded = &Encoded{}
	if old.ReadAt.After(read) {
		read = old.ReadAt
	}
	if o.CompleteTo < old.CompleteTo {
		o = old
	}
	if o.Version != old.Version && old.HasBody {
		c.keepFormer(p, old)
	}
	o.ReadAt, o.HasBody = read, true
	c.parts[p] = o
}

// keepFormer keeps a body that is about to be replaced.
func (c *PartCache[T]) keepFormer(p Part, old PartCopy[T]) {
	if c.Diff == nil {
		c.former = nil
		return
	}
	if c.former == nil {
		c.former = map[Part][]formerBody[T]{}
	}
	kept := slices.DeleteFunc(c.former[p], func(f formerBody[T]) bool { return f.version == old.Version })
	kept = append(kept[max(0, len(kept)-maxFormerBodies+1):], formerBody[T]{version: old.Version, body: old.Body})
	for n := range kept {
		kept[n] = formerBody[T]{version: kept[n].version, body: kept[n].body}
	}
	c.former[p] = kept
}

// changesSince returns the changes of a part since a version, nil if a copy with all of it is to be sent.
func (c *PartCache[T]) changesSince(p Part, v Version) *formerBody[T] {
	for n := range c.former[p] {
		f := &c.former[p][n]
		if f.version != v {
			continue
		}
		if !f.compared {
			f.changes, f.useful = c.Diff(f.body, c.parts[p].Body)
			f.compared, f.encoded = true, &Encoded{}
		}
		if f.useful {
			return f
		}
		return nil
	}
	return nil
}

// ChangesFor returns all parts as UpdatesFor does, but with only the changes where the follower has an earlier
// version from which they are known.
//
// Designed for thousands of instances, of which one changes at a time: a copy of all for each change, to each of
// hundreds of followers, took more than the links between the hosts bear.
func (c *PartCache[T]) ChangesFor(has map[Part]Version) map[Part]PartCopy[T] {
	before := maps.Clone(has)
	out := c.UpdatesFor(has)
	for p, part := range out {
		v, known := before[p]
		if !part.HasBody || !known {
			continue
		}
		if f := c.changesSince(p, v); f != nil {
			part.Body, part.Encoded, part.ChangesOnly, part.Base = f.changes, f.encoded, true, v
			out[p] = part
		}
	}
	return out
}

// UpdatesFor returns all parts for a follower that has the versions in has, without the bodies that
// the follower already has. It sets has to the versions that the follower has afterwards.
func (c *PartCache[T]) UpdatesFor(has map[Part]Version) map[Part]PartCopy[T] {
	out := make(map[Part]PartCopy[T], len(c.parts))
	for p, part := range c.parts {
		// An empty part may have version zero.
		if v, ok := has[p]; ok && v == part.Version {
			var zero T
			part.HasBody, part.Body, part.Encoded = false, zero, nil
		}
		out[p] = part
		has[p] = part.Version
	}
	return out
}
