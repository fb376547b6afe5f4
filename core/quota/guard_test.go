package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/quota"
)

const dc = "obihiro"

// filled returns a home whose bucket has had time to fill.
func filled(s quota.Share) (*quota.Home, time.Time) {
	h := &quota.Home{}
	h.Start(epoch, 1, s, 0, 0)
	return h, epoch.Add(quota.GrantCountedFor + time.Hour)
}

// A host is replaced in the middle of a rush. The new home knows nothing of what
// the old one granted a moment ago; had it begun with a full bucket, or before
// those grants expired, the customer would get its burst twice.
func TestNewHomeStartsEmptyAndLate(t *testing.T) {
	c := qt.New(t)
	h := &quota.Home{}
	h.Start(epoch, 1, quota.Share{Rate: 10, Burst: 50}, 0, 0)
	c.Assert(h.Ask(epoch.Add(quota.GrantCountedFor), quota.Ask{Urgent: 1}).Tokens, qt.Equals, quota.Tokens(0))
	c.Assert(h.Ask(epoch.Add(quota.GrantCountedFor+150*time.Millisecond), quota.Ask{Urgent: 5}).Tokens,
		qt.Equals, quota.Tokens(1))
}

// A spender's clock is slow. By its own count a grant has some time left when
// the home's clock says that it has expired, so the home counts it for longer.
func TestHomeCountsGrantsOfSlowClocks(t *testing.T) {
	c := qt.New(t)
	h, now := filled(quota.Share{Rate: 1000, Burst: 10})
	c.Assert(h.Ask(now, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(10))
	slow := now.Add(quota.GrantLifetime + quota.GrantLifetime/5)
	c.Assert(h.Ask(slow, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(0))
	c.Assert(h.Ask(now.Add(2*quota.GrantCountedFor), quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(10))
}

// A host is paused with tokens in hand and wakes when the home has long granted
// them to others. They must be gone before the first exchange is let through.
func TestPausedSpenderWakesEmpty(t *testing.T) {
	c := qt.New(t)
	s := quota.Spender{Own: dc}
	a := quota.Ask{Urgent: 5}
	answered := epoch.Add(50 * time.Millisecond)
	s.Granted(answered, epoch, dc, a, quota.Grant{ID: 1, Tokens: 5})
	c.Assert(s.Take(epoch.Add(quota.GrantLifetime-1), 1), qt.IsTrue)
	c.Assert(s.Take(epoch.Add(quota.GrantLifetime), 1), qt.IsFalse)
	c.Assert(s.TakeAny(epoch.Add(quota.GrantLifetime), 1), qt.IsFalse)
}

// Two reports of one grant overtake each other on the way.
func TestOldReportRaisesNothing(t *testing.T) {
	c := qt.New(t)
	h, now := filled(quota.Share{Rate: 0.001, Burst: 10})
	g := h.Ask(now, quota.Ask{Urgent: 10})
	h.Ask(now, quota.Ask{Reports: []quota.Report{{Grant: g.ID, Left: 3}}})
	h.Ask(now, quota.Ask{Reports: []quota.Report{{Grant: g.ID, Left: 8}}})
	c.Assert(h.State().Outstanding, qt.Equals, quota.Tokens(3))
	h.Ask(now, quota.Ask{Reports: []quota.Report{{Grant: g.ID, Left: 9, Closed: true}}})
	c.Assert(h.Ask(now, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(3))
}

func TestOlderDocumentChangesNothing(t *testing.T) {
	h, now := filled(quota.Share{Rate: 10, Burst: 10})
	h.SetShare(now, 3, quota.Share{Rate: 1, Burst: 2}, true)
	h.SetShare(now, 2, quota.Share{Rate: 10, Burst: 10}, true)
	now = now.Add(time.Minute)
	qt.Assert(t, h.Ask(now, quota.Ask{Urgent: 10}).Tokens, qt.Equals, quota.Tokens(2))
}

// A data centre is taken off the list. The others' shares grow, but that data
// centre may not have heard of it yet and still spends its own.
func TestGainFromAShorterListWaits(t *testing.T) {
	c := qt.New(t)
	h, now := filled(quota.Share{Rate: 10, Burst: 10})
	h.SetShare(now, 2, quota.Share{Rate: 15, Burst: 15}, false)
	now = now.Add(quota.ShareIncreaseDelay - 1)
	c.Assert(h.Ask(now, quota.Ask{Urgent: 20}).Tokens, qt.Equals, quota.Tokens(10))
	now = now.Add(quota.ShareIncreaseDelay)
	c.Assert(h.Ask(now, quota.Ask{Urgent: 20}).Tokens, qt.Equals, quota.Tokens(15))
}

var (
	holder  = quota.Process{Host: "o1", Epoch: 1}
	witness = quota.Process{Host: "o2", Epoch: 7}
	next    = quota.Process{Host: "o3", Epoch: 1}
	record  = quota.OwnershipRecord{Holder: holder, Lease: 11, Witness: witness, Tenure: 4}
)

// held returns a seat whose lease ends a second after epoch.
func held() *quota.Ownership {
	s := &quota.Ownership{}
	s.Acquired(record)
	s.LeaseRenewed(11, epoch.Add(time.Second))
	return s
}

// A home is paused, loses its lease and its seat, and wakes believing in both.
func TestHolderStopsWithItsLease(t *testing.T) {
	c := qt.New(t)
	s := held()
	c.Assert(s.CanGrant(epoch), qt.IsTrue)
	c.Assert(s.CanGrant(epoch.Add(time.Second)), qt.IsFalse)
	s.LeaseRenewed(12, epoch.Add(time.Hour))
	c.Assert(s.CanGrant(epoch.Add(time.Second)), qt.IsFalse, qt.Commentf("a later lease doesn't renew the seat"))
}

// The store is down, so the lease has ended; the witness's consent keeps the home
// granting, for as long as the consent lasts, and never without end.
func TestConsentStandsInForTheLease(t *testing.T) {
	c := qt.New(t)
	s := held()
	at := epoch.Add(time.Minute)
	s.Consented(at, witness, 4)
	c.Assert(s.CanGrant(at.Add(quota.ConsentLifetime-1)), qt.IsTrue)
	c.Assert(s.CanGrant(at.Add(quota.ConsentLifetime)), qt.IsFalse)
	end := epoch.Add(time.Second + quota.MaxTenureWithoutStore)
	s.Consented(end, witness, 4)
	c.Assert(s.CanGrant(end), qt.IsFalse)
}

// A witness restarts, and has forgotten that it promised a successor to consent
// no more. What the new process says counts for nothing.
func TestOnlyTheRecordedWitnessCounts(t *testing.T) {
	c := qt.New(t)
	at := epoch.Add(time.Minute)
	s := held()
	s.Consented(at, quota.Process{Host: "o2", Epoch: 8}, 4)
	c.Assert(s.CanGrant(at), qt.IsFalse)
	s.Consented(at, witness, 3)
	c.Assert(s.CanGrant(at), qt.IsFalse)
	s.BeginSwap()
	s.Consented(at, witness, 4)
	c.Assert(s.CanGrant(at), qt.IsFalse, qt.Commentf("the store may name another witness by now"))
}

// A holder lives on in a store outage by the consent of its witness. When the
// store is back, a successor may take the seat only once that consent has been
// withdrawn and has ended.
func TestSuccessorWaitsForConsentToEnd(t *testing.T) {
	c := qt.New(t)
	w := quota.Witness{Since: epoch.Add(-time.Hour)}
	c.Assert(w.Consent(epoch, dc, 4), qt.IsTrue)
	var n quota.Claim
	c.Assert(n.Next(epoch, next, 21, record, true), qt.Equals, quota.StepIdle)
	c.Assert(n.Next(epoch, next, 21, record, false), qt.Equals, quota.StepWithdraw)
	d := w.Withdraw(epoch, dc, 4)
	c.Assert(d > quota.ConsentLifetime, qt.IsTrue)
	c.Assert(w.Consent(epoch, dc, 4), qt.IsFalse)
	n.Withdrawn(epoch, record, d)
	c.Assert(n.Next(epoch.Add(d-1), next, 21, record, false), qt.Equals, quota.StepWait)
	c.Assert(n.Next(epoch.Add(d), next, 21, record, false), qt.Equals, quota.StepSwap)
	c.Assert(w.Consent(epoch.Add(d), dc, 5), qt.IsTrue, qt.Commentf("the next tenure has its own"))
}

// A witness that has just restarted may have consented shortly before.
func TestRestartedWitnessCountsItsFormerConsent(t *testing.T) {
	w := quota.Witness{Since: epoch}
	qt.Assert(t, w.Withdraw(epoch.Add(100*time.Millisecond), dc, 4) > quota.ConsentLifetime, qt.IsTrue)
}

// Holder and witness are lost together, with the rack that both stood in.
func TestSeatIsFreeAfterTheLongestHold(t *testing.T) {
	c := qt.New(t)
	var n quota.Claim
	c.Assert(n.Next(epoch, next, 21, record, false), qt.Equals, quota.StepWithdraw)
	c.Assert(n.Next(epoch.Add(quota.MaxTenureWithoutStore), next, 21, record, false), qt.Equals, quota.StepWithdraw)
	c.Assert(n.Next(epoch.Add(2*quota.MaxTenureWithoutStore), next, 21, record, false), qt.Equals, quota.StepSwap)
}

// A holder's lease lapses, a successor sees it, and the holder registers anew
// before the successor's swap. Only a swap of its own makes the holder safe.
func TestHolderSwapsForItsNewLease(t *testing.T) {
	c := qt.New(t)
	var n quota.Claim
	c.Assert(n.Next(epoch, holder, 12, record, false), qt.Equals, quota.StepSwap)
	c.Assert(n.Next(epoch, holder, 11, record, false), qt.Equals, quota.StepAdopt)
}

// A holder gives its seat up, or names another witness, and the answer is lost: the
// store is slow, and the change comes into effect seconds later. Had the holder
// gone on by the old record, the next one would grant at the same time.
func TestSwapUnderWayIsSwappedAgain(t *testing.T) {
	c := qt.New(t)
	var n quota.Claim
	n.Tried(record)
	c.Assert(n.Next(epoch, holder, 11, record, true), qt.Equals, quota.StepSwap)
	landed := quota.ClaimedRecord(record, holder, 11, next)
	c.Assert(n.Next(epoch, holder, 11, landed, true), qt.Equals, quota.StepAdopt)
}

// Another host had the seat between two tenures of this one. What it granted is
// unknown here, so the homes must start anew.
func TestTenureBetweenIsNoticed(t *testing.T) {
	c := qt.New(t)
	s := held()
	own := quota.ClaimedRecord(record, holder, 12, witness)
	c.Assert(s.Acquired(own), qt.IsTrue)
	c.Assert(s.Acquired(quota.ClaimedRecord(quota.ClaimedRecord(own, next, 21, witness), holder, 13, witness)), qt.IsFalse)
}

// A virtual machine is suspended for a minute. Its monotonic clock stood still, so
// the tokens in hand look fresh; the wall clock tells. It is put back later, which
// must not make anything fresh again.
func TestSuspendedHostCountsTheSuspension(t *testing.T) {
	c := qt.New(t)
	var k quota.SuspendAwareClock
	c.Assert(k.Elapsed(time.Second, time.Second), qt.Equals, time.Second)
	c.Assert(k.Elapsed(62*time.Second, 2*time.Second), qt.Equals, 62*time.Second)
	c.Assert(k.Elapsed(3*time.Second, 3*time.Second), qt.Equals, 63*time.Second)
}

func BenchmarkTake(b *testing.B) {
	s := quota.Spender{Own: dc}
	s.Granted(epoch, epoch, dc, quota.Ask{}, quota.Grant{ID: 1, Tokens: 1 << 60})
	b.ReportAllocs()
	for b.Loop() {
		if !s.Take(epoch, 1) {
			b.Fatal("no token")
		}
	}
}

func BenchmarkAskAndGrant(b *testing.B) {
	h, now := filled(quota.Share{Rate: 1e9, Burst: 1e9})
	s := quota.Spender{Own: dc}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		w, _ := s.Next(now, 1, threeDCs[1:2])
		s.Granted(now, now, dc, w.Ask, h.Ask(now, w.Ask))
		s.TakeAny(now, 1)
	}
}
