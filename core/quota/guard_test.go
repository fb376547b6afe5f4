package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/quota"
)

const dc = "obihiro"

// newFilledHome returns a home and a time by which its bucket is full.
func newFilledHome(s quota.Share) (*quota.Home, time.Time) {
	h := &quota.Home{}
	h.Start(epoch, 1, s, 0, 0)
	return h, epoch.Add(quota.GrantCountedFor + time.Hour)
}

// Guards against an account getting its burst twice when its home is replaced: the new home doesn't
// know what the old one has granted. That would happen if it began with a full bucket, or before
// the grants of the old one expired.
func TestNewHomeStartsEmptyAndLate(t *testing.T) {
	c := qt.New(t)
	h := &quota.Home{}
	h.Start(epoch, 1, quota.Share{Rate: 10, Burst: 50}, 0, 0)
	c.Assert(h.Ask(epoch.Add(quota.GrantCountedFor), quota.Ask{Urgent: 1}).Tokens, qt.Equals, quota.Tokens(0))
	c.Assert(h.Ask(epoch.Add(quota.GrantCountedFor+150*time.Millisecond), quota.Ask{Urgent: 5}).Tokens,
		qt.Equals, quota.Tokens(1))
}

// By a slow spender clock a grant still has some time left when it has expired by the home's clock.
// The home counts the grant for longer, so that it doesn't grant those tokens twice.
func TestHomeCountsGrantsOfSlowClocks(t *testing.T) {
	c := qt.New(t)
	h, now := newFilledHome(quota.Share{Rate: 1000, Burst: 10})
	c.Assert(h.Ask(now, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(10))
	slow := now.Add(quota.GrantLifetime + quota.GrantLifetime/5)
	c.Assert(h.Ask(slow, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(0))
	c.Assert(h.Ask(now.Add(2*quota.GrantCountedFor), quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(10))
}

// A host is paused while it holds tokens, and resumes after the home has granted them to others. No
// exchange may be admitted with the expired tokens.
func TestPausedSpenderSpendsNoExpiredTokens(t *testing.T) {
	c := qt.New(t)
	s := quota.Spender{OwnDataCentre: dc}
	a := quota.Ask{Urgent: 5}
	answered := epoch.Add(50 * time.Millisecond)
	s.Granted(answered, epoch, dc, a, quota.Grant{ID: 1, Tokens: 5})
	c.Assert(s.Take(epoch.Add(quota.GrantLifetime-1), 1), qt.IsTrue)
	c.Assert(s.Take(epoch.Add(quota.GrantLifetime), 1), qt.IsFalse)
	c.Assert(s.TakeAny(epoch.Add(quota.GrantLifetime), 1), qt.IsFalse)
}

// Two reports on one grant arrive in the wrong order. The older one must not raise what is left.
func TestOlderReportIncreasesNothing(t *testing.T) {
	c := qt.New(t)
	h, now := newFilledHome(quota.Share{Rate: 0.001, Burst: 10})
	g := h.Ask(now, quota.Ask{Urgent: 10})
	h.Ask(now, quota.Ask{Reports: []quota.Report{{Grant: g.ID, Left: 3}}})
	h.Ask(now, quota.Ask{Reports: []quota.Report{{Grant: g.ID, Left: 8}}})
	c.Assert(h.State().Outstanding, qt.Equals, quota.Tokens(3))
	h.Ask(now, quota.Ask{Reports: []quota.Report{{Grant: g.ID, Left: 9, Closed: true}}})
	c.Assert(h.Ask(now, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(3))
}

func TestOlderDocumentChangesNothing(t *testing.T) {
	h, now := newFilledHome(quota.Share{Rate: 10, Burst: 10})
	h.SetShare(now, 3, quota.Share{Rate: 1, Burst: 2}, true)
	h.SetShare(now, 2, quota.Share{Rate: 10, Burst: 10}, true)
	now = now.Add(time.Minute)
	qt.Assert(t, h.Ask(now, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(2))
}

// A data centre is removed from the list, and the shares of the others grow. That data centre may
// not have received the new document and still spend its own share, so the growth is delayed.
func TestShareIncreaseIsDelayed(t *testing.T) {
	c := qt.New(t)
	h, now := newFilledHome(quota.Share{Rate: 10, Burst: 10})
	h.SetShare(now, 2, quota.Share{Rate: 15, Burst: 15}, false)
	now = now.Add(quota.ShareIncreaseDelay - 1)
	c.Assert(h.Ask(now, quota.Ask{Urgent: 20}).Tokens, qt.Equals, quota.Tokens(10))
	now = now.Add(quota.ShareIncreaseDelay)
	c.Assert(h.Ask(now, quota.Ask{Urgent: 20}).Tokens, qt.Equals, quota.Tokens(15))
}

var (
	owner     = quota.Process{Host: "o1", Epoch: 1}
	witness   = quota.Process{Host: "o2", Epoch: 7}
	successor = quota.Process{Host: "o3", Epoch: 1}
	record    = quota.OwnershipRecord{Owner: owner, Lease: 11, Witness: witness, Tenure: 4}
)

// ownedUntilLeaseEnd returns an ownership whose lease ends a second after epoch.
func ownedUntilLeaseEnd() *quota.Ownership {
	s := &quota.Ownership{}
	s.Acquired(record)
	s.LeaseRenewed(11, epoch.Add(time.Second))
	return s
}

// An owner is paused, loses its lease and its ownership, and resumes without knowing of either
// loss. It must not grant.
func TestOwnerStopsAtLeaseEnd(t *testing.T) {
	c := qt.New(t)
	s := ownedUntilLeaseEnd()
	c.Assert(s.CanGrant(epoch), qt.IsTrue)
	c.Assert(s.CanGrant(epoch.Add(time.Second)), qt.IsFalse)
	s.LeaseRenewed(12, epoch.Add(time.Hour))
	c.Assert(s.CanGrant(epoch.Add(time.Second)), qt.IsFalse, qt.Commentf("another lease doesn't renew the ownership"))
}

// The store is down and the lease has ended. The witness's consent lets the home go on granting for
// as long as the consent lasts, and for MaxTenureWithoutStore at most.
func TestConsentReplacesTheLease(t *testing.T) {
	c := qt.New(t)
	s := ownedUntilLeaseEnd()
	at := epoch.Add(time.Minute)
	s.Consented(at, witness, 4)
	c.Assert(s.CanGrant(at.Add(quota.ConsentLifetime-1)), qt.IsTrue)
	c.Assert(s.CanGrant(at.Add(quota.ConsentLifetime)), qt.IsFalse)
	end := epoch.Add(time.Second + quota.MaxTenureWithoutStore)
	s.Consented(end, witness, 4)
	c.Assert(s.CanGrant(end), qt.IsFalse)
}

// A restarted witness doesn't know that its previous process withdrew its consent for a successor.
// The consent of the new process must not count.
func TestOnlyTheRecordedWitnessCounts(t *testing.T) {
	c := qt.New(t)
	at := epoch.Add(time.Minute)
	s := ownedUntilLeaseEnd()
	s.Consented(at, quota.Process{Host: "o2", Epoch: 8}, 4)
	c.Assert(s.CanGrant(at), qt.IsFalse)
	s.Consented(at, witness, 3)
	c.Assert(s.CanGrant(at), qt.IsFalse)
	s.BeginSwap()
	s.Consented(at, witness, 4)
	c.Assert(s.CanGrant(at), qt.IsFalse, qt.Commentf("the store may name another witness by now"))
}

// An owner goes on through a store outage by the consent of its witness. When the store is back, a
// successor may take the ownership only after that consent has been withdrawn and has ended.
func TestSuccessorWaitsForConsentToEnd(t *testing.T) {
	c := qt.New(t)
	w := quota.Witness{StartedAt: epoch.Add(-time.Hour)}
	c.Assert(w.Consent(epoch, dc, 4), qt.IsTrue)
	var claim quota.Claim
	c.Assert(claim.Next(epoch, successor, 21, record, true), qt.Equals, quota.StepIdle)
	c.Assert(claim.Next(epoch, successor, 21, record, false), qt.Equals, quota.StepWithdraw)
	d := w.Withdraw(epoch, dc, 4)
	c.Assert(d > quota.ConsentLifetime, qt.IsTrue)
	c.Assert(w.Consent(epoch, dc, 4), qt.IsFalse)
	claim.Withdrawn(epoch, record, d)
	c.Assert(claim.Next(epoch.Add(d-1), successor, 21, record, false), qt.Equals, quota.StepWait)
	c.Assert(claim.Next(epoch.Add(d), successor, 21, record, false), qt.Equals, quota.StepSwap)
	c.Assert(w.Consent(epoch.Add(d), dc, 5), qt.IsTrue, qt.Commentf("consent to the next tenure is separate"))
}

// A witness that has just restarted may have consented shortly before. It reports the longest time
// for which such a consent may stand.
func TestRestartedWitnessReportsPossibleEarlierConsent(t *testing.T) {
	w := quota.Witness{StartedAt: epoch}
	qt.Assert(t, w.Withdraw(epoch.Add(100*time.Millisecond), dc, 4) > quota.ConsentLifetime, qt.IsTrue)
}

// Owner and witness are lost together, for instance with the rack of both. A successor may take the
// ownership once the longest tenure without the store has ended.
func TestOwnershipIsFreeAfterTheLongestTenure(t *testing.T) {
	c := qt.New(t)
	var claim quota.Claim
	c.Assert(claim.Next(epoch, successor, 21, record, false), qt.Equals, quota.StepWithdraw)
	c.Assert(claim.Next(epoch.Add(quota.MaxTenureWithoutStore), successor, 21, record, false), qt.Equals,
		quota.StepWithdraw)
	c.Assert(claim.Next(epoch.Add(2*quota.MaxTenureWithoutStore), successor, 21, record, false), qt.Equals, quota.StepSwap)
}

// An owner's lease lapses, a successor sees the lapse, and the owner registers again before the
// successor's swap. Only a swap by the owner makes the successor's swap fail.
func TestOwnerSwapsForItsNewLease(t *testing.T) {
	c := qt.New(t)
	var claim quota.Claim
	c.Assert(claim.Next(epoch, owner, 12, record, false), qt.Equals, quota.StepSwap)
	c.Assert(claim.Next(epoch, owner, 11, record, false), qt.Equals, quota.StepAdopt)
}

// An owner gives its ownership up or names another witness, and the answer is lost: the store is
// slow and applies the change seconds later. If the owner went on by the old record, the next owner
// would grant at the same time.
func TestPendingSwapIsSwappedAgain(t *testing.T) {
	c := qt.New(t)
	var claim quota.Claim
	claim.SwapSent(record)
	c.Assert(claim.Next(epoch, owner, 11, record, true), qt.Equals, quota.StepSwap)
	applied := quota.ClaimedRecord(record, owner, 11, successor)
	c.Assert(claim.Next(epoch, owner, 11, applied, true), qt.Equals, quota.StepAdopt)
}

// Another host was the owner between two tenures of this one. What it granted isn't known here, so
// the homes must start anew.
func TestInterveningTenureIsDetected(t *testing.T) {
	c := qt.New(t)
	s := ownedUntilLeaseEnd()
	own := quota.ClaimedRecord(record, owner, 12, witness)
	c.Assert(s.Acquired(own), qt.IsTrue)
	c.Assert(s.Acquired(quota.ClaimedRecord(quota.ClaimedRecord(own, successor, 21, witness), owner, 13, witness)),
		qt.IsFalse)
}

// A virtual machine is suspended for a minute. By its monotonic clock, which stood still, its
// tokens haven't expired; the wall clock shows the suspension. The wall clock is set back later,
// which must not make the time go back.
func TestClockIncludesSuspension(t *testing.T) {
	c := qt.New(t)
	var clock quota.SuspendAwareClock
	c.Assert(clock.Elapsed(time.Second, time.Second), qt.Equals, time.Second)
	c.Assert(clock.Elapsed(62*time.Second, 2*time.Second), qt.Equals, 62*time.Second)
	c.Assert(clock.Elapsed(3*time.Second, 3*time.Second), qt.Equals, 63*time.Second)
}

func BenchmarkTake(b *testing.B) {
	s := quota.Spender{OwnDataCentre: dc}
	s.Granted(epoch, epoch, dc, quota.Ask{}, quota.Grant{ID: 1, Tokens: 1 << 60})
	b.ReportAllocs()
	for b.Loop() {
		if !s.Take(epoch, 1) {
			b.Fatal("no token")
		}
	}
}

func BenchmarkAskAndGrant(b *testing.B) {
	h, now := newFilledHome(quota.Share{Rate: 1e9, Burst: 1e9})
	s := quota.Spender{OwnDataCentre: dc}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		w, _ := s.Next(now, 1, threeDCs[1:2])
		s.Granted(now, now, dc, w.Ask, h.Ask(now, w.Ask))
		s.TakeAny(now, 1)
	}
}
