package document

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
)

// StorePrefix returns the prefix of the store keys of all documents. The name of the
// service follows it. root is the prefix of all keys in the store.
func StorePrefix(root string) string {
	return root + "documents/"
}

// StoreKey returns the store key of the document of service s.
func StoreKey(root string, s fleet.Service) string {
	return StorePrefix(root) + string(s)
}

// Stamp is metadata about the edit that wrote a document. It is the first line of
// the document in the store, an INI comment. A document written by another tool
// has none.
type Stamp struct {
	// EditID is the ID of the edit. When the store's response to a write is lost, the
	// editor finds out by it whether the write took effect.
	EditID string
	// Seq is the number of the edit, counted from 1 for each document.
	Seq uint64
	// After is the version that the edit replaced, zero if there was none. Of all
	// edits that replace the same version, the store accepts one.
	After Version
	// Base is added to the store's revision to give the version. It is zero until
	// the store is reset to lower revisions, where new versions without it would
	// look older than those in effect.
	Base uint64
	// By is the author of the edit, and At the time at which it was made.
	By string
	At time.Time
}

const stampPrefix = "; skylarkdeal "

// String returns the stamp's line without a line break. Spaces in By become hyphens.
func (s Stamp) String() string {
	return fmt.Sprintf("%sedit=%s seq=%d after=%d base=%d by=%s at=%s", stampPrefix,
		s.EditID, s.Seq, s.After, s.Base, strings.ReplaceAll(s.By, " ", "-"), s.At.UTC().Format(time.RFC3339))
}

// AddStamp returns the value to write to the store: the stamp, then text.
func AddStamp(s Stamp, text []byte) []byte {
	return append([]byte(s.String()+"\n"), text...)
}

// SplitStamp splits a value read from the store into its stamp and the document's
// text. Without a stamp, the Stamp is zero and the text is all of value.
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
			s.EditID = v
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

// VersionAt returns the version of the document that the store holds as value at
// revision.
func VersionAt(value []byte, revision uint64) Version {
	s, _ := SplitStamp(value)
	return Version(s.Base + revision)
}

// RevisionOf returns the store's revision at which value was written as version v. It
// is zero if v is not above the stamp's base.
func RevisionOf(value []byte, v Version) uint64 {
	s, _ := SplitStamp(value)
	return uint64(v) - min(s.Base, uint64(v))
}
