package document

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
)

// StorePrefix returns what the store's keys of documents start with, root being that
// of all keys; the service follows.
func StorePrefix(root string) string {
	return root + "documents/"
}

// StoreKey returns the store's key of a service's document.
func StoreKey(root string, s fleet.Service) string {
	return StorePrefix(root) + string(s)
}

// Stamp is the first line of a document in the store, an INI comment. It says
// which edit wrote it. A document written by other tools has none.
type Stamp struct {
	// Edit names the edit, so that its author can find out after a lost answer
	// whether it took effect.
	Edit string
	// Seq counts the edits of the document.
	Seq uint64
	// After is the version that the edit replaced, zero for none. Of all edits
	// after one version the store takes one.
	After Version
	// Base is added to the store's revision. It stays zero until the store is
	// reset to lower revisions, after which new versions would be taken for old.
	Base uint64
	By   string
	At   time.Time
}

const stampPrefix = "; skylarkdeal "

// String returns the stamp's line, without its end.
func (s Stamp) String() string {
	return fmt.Sprintf("%sedit=%s seq=%d after=%d base=%d by=%s at=%s", stampPrefix,
		s.Edit, s.Seq, s.After, s.Base, strings.ReplaceAll(s.By, " ", "-"), s.At.UTC().Format(time.RFC3339))
}

// AddStamp returns text under the stamp, as it goes into the store.
func AddStamp(s Stamp, text []byte) []byte {
	return append([]byte(s.String()+"\n"), text...)
}

// SplitStamp takes the stamp off a document from the store. Without one the Stamp is
// zero and text is all of it.
func SplitStamp(value []byte) (Stamp, []byte) {
	line, text, _ := bytes.Cut(value, []byte("\n"))
	fields, ok := strings.CutPrefix(string(line), stampPrefix)
	if !ok {
		return Stamp{}, value
	}
	var s Stamp
	for f := range strings.FieldsSeq(fields) {
		k, v, _ := strings.Cut(f, "=")
		switch k {
		case "edit":
			s.Edit = v
		case "seq":
			s.Seq, _ = strconv.ParseUint(v, 10, 64)
		case "after":
			n, _ := strconv.ParseUint(v, 10, 64)
			s.After = Version(n)
		case "base":
			s.Base, _ = strconv.ParseUint(v, 10, 64)
		case "by":
			s.By = v
		case "at":
			s.At, _ = time.Parse(time.RFC3339, v)
		}
	}
	return s, text
}

// VersionAt returns the version of a document that the store holds at a
// revision.
func VersionAt(value []byte, revision uint64) Version {
	s, _ := SplitStamp(value)
	return Version(s.Base + revision)
}

// RevisionOf returns the store's revision of a version.
func RevisionOf(value []byte, v Version) uint64 {
	s, _ := SplitStamp(value)
	return uint64(v) - min(s.Base, uint64(v))
}
