package quota

import (
	"time"

	"skylarkdeal/core/fleet"
)

// OwnershipID identifies the right to be the home of one shard in one data
// centre.
type OwnershipID string

// Process is one run of the program on a host. A host that restarts is another
// process: it doesn't know what the previous one granted or promised.
type Process struct {
	Host  fleet.Host `json:"host"`
	Epoch uint64     `json:"epoch"`
}

// OwnershipRecord is what the platform's store holds of an ownership. It is
// only changed by compare-and-swap, and stays when its owner's lease ends.
type OwnershipRecord struct {
	// Owner is the process that owns the shard, the zero Process after the owner
	// gave the shard up.
	Owner Process `json:"holder"`
	// Lease names the registration in the store under which the owner took the
	// ownership. An owner whose lease has lapsed registers again and has to
	// swap the record for one with the new lease. The swap of a claimant that
	// saw the lapse then fails.
	Lease uint64 `json:"lease"`
	// Witness consents to the owner's tenure while the store can't be reached;
	// the zero Process when there is none.
	Witness Process `json:"witness"`
	// Tenure counts the changes of the record.
	Tenure uint64 `json:"tenure"`
}

const (
	// ConsentLifetime is how long a witness's consent lasts, by the owner's
	// clock, counted from when the owner sent its request: three rounds of
	// renewing the ownerships, so that no home stops when two answers are lost.
	// It bounds how long a successor waits.
	ConsentLifetime = 2 * time.Second
	// consentCountedFor is how long the witness counts a consent. It covers
	// clock drift as GrantCountedFor does.
	consentCountedFor = ConsentLifetime + ConsentLifetime*3/10
	// MaxTenureWithoutStore bounds a tenure without the store, so that an
	// ownership whose owner and witness are both lost can be taken again. It is
	// above the platform's outages of some ten minutes.
	MaxTenureWithoutStore = 20 * time.Minute
	// storelessTenureCountedFor is how long a successor waits when the witness
	// is lost too. It covers clock drift as GrantCountedFor does.
	storelessTenureCountedFor = MaxTenureWithoutStore + MaxTenureWithoutStore*3/10
)

// Ownership is an owner's view of its own tenure. The zero Ownership is not
// held.
//
// A home must never grant while another one does, nor within GrantCountedFor of
// it. Normally the owner's lease in the store ensures that: no host takes an
// ownership while its owner's lease stands. When the store is down all leases
// end, and every home would stop granting for the whole outage. Then the
// consent of one other host, the witness named in the record, replaces the
// lease: a successor must have that consent withdrawn first, and the record
// names the witness to ask. The consent of a majority of the data centre's
// hosts would serve as well where there are many, but of two hosts, the present
// size, a majority is lost with either.
type Ownership struct {
	record         OwnershipRecord
	held           bool
	leaseUntil     time.Time
	consentUntil   time.Time
	storelessUntil time.Time
}

// Acquired notes that the store answered with the record r, which has this
// process as its owner. It reports whether the process had the previous tenure
// too, so that no other host can have granted in between.
func (o *Ownership) Acquired(r OwnershipRecord) (kept bool) {
	kept = o.held && o.record.Tenure+1 >= r.Tenure
	*o = Ownership{record: r, held: true}
	return kept
}

// BeginSwap notes that the owner is about to swap its own record, for a new
// lease or another witness. Until Acquired the store may hold either record,
// and a successor asks only the witness of the one that it reads. So the
// consent of the old witness no longer counts.
func (o *Ownership) BeginSwap() {
	o.record.Witness = Process{}
	o.consentUntil = time.Time{}
}

// Lost ends the tenure: the record names another process, or may do so.
func (o *Ownership) Lost() {
	*o = Ownership{}
}

// LeaseRenewed notes that the named lease stands in the store until the given
// time of the owner's clock, counted from when the renewal was sent. A lease
// other than the record's is ignored.
func (o *Ownership) LeaseRenewed(lease uint64, until time.Time) {
	if lease == o.record.Lease && until.After(o.leaseUntil) {
		o.leaseUntil = until
		o.storelessUntil = until.Add(MaxTenureWithoutStore)
	}
}

// Consented notes that the process by consented to a request for the given
// tenure that was sent at sent. It counts only if both are the record's.
func (o *Ownership) Consented(sent time.Time, by Process, tenure uint64) {
	if by == o.record.Witness && tenure == o.record.Tenure {
		o.consentUntil = sent.Add(ConsentLifetime)
	}
}

// CanGrant reports whether the owner may grant at now. It is called before each
// grant, with a clock that includes any suspension, so that an owner that
// resumes after a pause grants nothing under an ended lease or consent.
func (o *Ownership) CanGrant(now time.Time) bool {
	if !o.held {
		return false
	}
	return now.Before(o.leaseUntil) || now.Before(o.consentUntil) && now.Before(o.storelessUntil)
}

// Held reports whether this process considers itself the owner.
func (o *Ownership) Held() bool {
	return o.held
}

// Record returns the record of the tenure; the zero record when it isn't held.
func (o *Ownership) Record() OwnershipRecord {
	return o.record
}

// LeaseUntil returns the end of the lease, from which on consent is needed.
func (o *Ownership) LeaseUntil() time.Time {
	return o.leaseUntil
}

// Witness holds the consents that one process has given. The zero Witness
// works.
type Witness struct {
	// StartedAt is when the process started: an earlier process of the same host
	// may have consented until shortly before.
	StartedAt time.Time

	consents map[OwnershipID]consent
}

type consent struct {
	// highestWithdrawn is the highest tenure number whose consent is withdrawn.
	// It and all lower ones get no further consent.
	highestWithdrawn uint64
	expiresAt        time.Time
}

// Consent answers an owner: whether its tenure may go on for ConsentLifetime.
// Consent to a tenure that is withdrawn is refused.
func (w *Witness) Consent(now time.Time, id OwnershipID, tenure uint64) bool {
	c := w.consents[id]
	if tenure <= c.highestWithdrawn {
		return false
	}
	c.expiresAt = now.Add(consentCountedFor)
	w.setConsent(id, c)
	return true
}

// Withdraw answers a successor that has seen in the store that the owner's
// lease is gone. Tenures up to the given one get no further consent. It returns
// for how long the last consent may still stand.
func (w *Witness) Withdraw(now time.Time, id OwnershipID, tenure uint64) time.Duration {
	c := w.consents[id]
	c.highestWithdrawn = max(c.highestWithdrawn, tenure)
	w.setConsent(id, c)
	return max(0, c.expiresAt.Sub(now), w.StartedAt.Add(consentCountedFor).Sub(now))
}

func (w *Witness) setConsent(id OwnershipID, c consent) {
	if w.consents == nil {
		w.consents = map[OwnershipID]consent{}
	}
	w.consents[id] = c
}

// Step is what a host that wants an ownership does next.
type Step string

// The steps of a claim.
const (
	// StepIdle means that another host is the owner.
	StepIdle Step = "rest"
	// StepAdopt means that the record already names this process: the answer to
	// its swap was lost.
	StepAdopt Step = "adopt"
	// StepWithdraw is to ask the witness to withdraw its consent.
	StepWithdraw Step = "withdraw"
	// StepWait is to wait until the withdrawn consent has ended.
	StepWait Step = "wait"
	// StepSwap is to put this process into the record.
	StepSwap Step = "swap"
)

// Claim is a host's attempt to take an ownership. The zero Claim works.
type Claim struct {
	record OwnershipRecord
	// leaseGoneAt is when the claimant first saw that the owner's lease had
	// ended.
	leaseGoneAt time.Time
	// consentEndsAt is when the withdrawn consent ends; zero before the
	// witness's answer.
	consentEndsAt time.Time
	// pendingTenure is one more than the tenure of the record that a swap of
	// this process may still replace, as its answer hasn't come.
	pendingTenure uint64
}

// Next returns the next step after the store has returned the record r; leased
// tells whether the lease of its owner stands.
func (c *Claim) Next(now time.Time, self Process, lease uint64, r OwnershipRecord, leased bool) Step {
	if r.Owner == self && r.Lease == lease {
		return c.stepForOwnRecord(r)
	}
	if r.Owner == self || r.Owner == (Process{}) {
		return StepSwap
	}
	if leased {
		*c = Claim{pendingTenure: c.pendingTenure}
		return StepIdle
	}
	if c.record != r || c.leaseGoneAt.IsZero() {
		*c = Claim{record: r, leaseGoneAt: now, pendingTenure: c.pendingTenure}
	}
	if r.Witness == (Process{}) || !c.consentEndsAt.IsZero() && !now.Before(c.consentEndsAt) {
		return StepSwap
	}
	if !c.consentEndsAt.IsZero() {
		return StepWait
	}
	if now.Sub(c.leaseGoneAt) > storelessTenureCountedFor {
		return StepSwap
	}
	return StepWithdraw
}

// SwapSent notes that a swap of the record r has been sent, whether for another
// witness, for another lease, or to give the ownership up.
func (c *Claim) SwapSent(r OwnershipRecord) {
	c.pendingTenure = r.Tenure + 1
}

// stepForOwnRecord returns the step for a record that names this process. While
// a swap of that record may be pending, the store may replace it at any time by
// one with another witness or none. Only a later swap, which makes the pending
// one fail, prevents that.
func (c *Claim) stepForOwnRecord(r OwnershipRecord) Step {
	if c.pendingTenure == r.Tenure+1 {
		return StepSwap
	}
	return StepAdopt
}

// Withdrawn handles the witness's answer to StepWithdraw for the record r: its
// consent may still stand for remains.
func (c *Claim) Withdrawn(now time.Time, r OwnershipRecord, remains time.Duration) {
	if c.record == r {
		c.consentEndsAt = now.Add(remains)
	}
}

// ClaimedRecord returns the record by which a claim of self replaces r.
func ClaimedRecord(r OwnershipRecord, self Process, lease uint64, witness Process) OwnershipRecord {
	return OwnershipRecord{Owner: self, Lease: lease, Witness: witness, Tenure: r.Tenure + 1}
}
