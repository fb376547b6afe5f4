// Package quota divides a client account's rate among the hosts, so that all
// hosts together never admit more than rate·w + burst in any window w,
// whichever hosts or data centres are cut off, paused, lost or restarted.
//
// Each data centre of the document owns a share of the account's rate and
// burst. One host of the data centre, the home, grants that share in
// short-lived batches of tokens, to the hosts of its own data centre and of
// others. A host spends a grant before it expires; the home counts the grant
// for longer than that.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

// Share is a data centre's part of an account's rate and burst.
type Share struct {
	// Rate is in tokens a second.
	Rate float64 `json:"rate"`
	// Burst is in tokens.
	Burst float64 `json:"burst"`
}

// Tokens is a number of tokens; one token admits one exchange.
type Tokens int64

// GrantLifetime is how long a grant may be spent, by the spender's clock,
// counted from when the spender sent its request. A full bucket isn't refilled
// for that long after a grant whose use is not reported, so GrantLifetime is
// short against burst/rate. It is long against a round trip of some
// milliseconds.
const GrantLifetime = 200 * time.Millisecond

// GrantCountedFor is how long the home counts a grant, by its own clock. It
// covers clock drift of a tenth on either side: the spender's clock may be slow
// by one part in ten and the home's fast by as much.
const GrantCountedFor = GrantLifetime + GrantLifetime*3/10

// ShareOf returns the share of the data centre d, out of all, in the rate and
// burst of the account a of service s.
//
// The shares depend on the document alone, never on which hosts or data centres
// can be reached, so they add up to rate and burst under any partition. No
// share falls when rate or burst rises: while hosts change from one document to
// another, the shares in effect add up to no more than those of the greater
// one. Bursts are split in whole tokens, as a fraction of a token admits
// nothing; which data centres get one token more differs by account. With a
// burst below the number of data centres some get none, and their share of the
// rate goes unused.
func ShareOf(rate, burst float64, s fleet.Service, a fleet.Account, d fleet.DataCentre, all []fleet.DataCentre) Share {
	if !slices.Contains(all, d) {
		return Share{}
	}
	ownRank := rankOf(s, a, d)
	lowerRanks := 0
	for _, other := range all {
		if rankOf(s, a, other) < ownRank {
			lowerRanks++
		}
	}
	centres := float64(len(all))
	wholeTokens := math.Floor(burst)
	part := math.Floor(wholeTokens / centres)
	if float64(lowerRanks) < wholeTokens-part*centres {
		part++
	}
	return Share{Rate: rate / centres, Burst: part}
}

func rankOf(s fleet.Service, a fleet.Account, d fleet.DataCentre) uint64 {
	return xxhash.Sum64String(string(s) + "\x00" + string(a) + "\x00" + string(d))
}
