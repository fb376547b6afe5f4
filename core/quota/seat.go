package quota

import (
	"time"

	"skylarkdeal/core/fleet"
)

// OwnershipID names the right to be the home of one shard in one data centre.
type OwnershipID string

// Process is one run of the program on a host. A host that restarts is another
// process: it has forgotten all that the former one granted or promised.
type Process struct {
	Host  fleet.Host `json:"host"`
	Epoch uint64     `json:"epoch"`
}

// OwnershipRecord is what the platform's store says of a seat. It is only changed by
// compare-and-swap and stays when its holder's lease ends.
type OwnershipRecord struct {
	// Holder has the seat; the zero Process when it was given back.
	Holder Process `json:"holder"`
	// Lease names the registration in the store under which the holder took the
	// seat. A holder whose lease has lapsed registers anew and has to swap the
	// record for the new one: a claimant that saw the lapse then loses its swap.
	Lease uint64 `json:"lease"`
	// Witness consents to the holder's tenure while the store can't be reached;
	// the zero Process when there is none.
	Witness Process `json:"witness"`
	// Tenure counts the changes of the record.
	Tenure uint64 `json:"tenure"`
}

const (
	// ConsentLifetime is how long a witness's consent lasts, by the holder's clock
	// from the moment at which it asked: three rounds of looking after the seats,
	// so that two lost answers stop nothing. It bounds how long a successor waits.
	ConsentLifetime = 2 * time.Second
	// consentCountedFor is how long the witness counts it, for clocks that run
	// apart as in GrantCountedFor.
	consentCountedFor = ConsentLifetime + ConsentLifetime*3/10
	// MaxTenureWithoutStore bounds a tenure without the store, so that a seat whose holder and
	// witness are both lost isn't closed for good. It is above the platform's
	// outages of some ten minutes.
	MaxTenureWithoutStore = 20 * time.Minute
	// storelessTenureCountedFor is what a successor waits when the witness is lost too.
	storelessTenureCountedFor = MaxTenureWithoutStore + MaxTenureWithoutStore*3/10
)

// Ownership is a holder's view of its own tenure. The zero Ownership is not held.
//
// A home must never grant while another one does, nor within GrantCountedFor of it. In
// ordinary times the holder's lease in the store proves that: nobody takes a
// seat whose holder's lease stands. When the store is down the lease runs out
// for all, and with it every home would fall silent for the whole outage; then
// the consent of one other host, the witness named in the record, stands in: a
// successor must have that consent withdrawn first, and the record names whom to
// ask. A majority of the data centre's hosts would do as well where there are
// many, but of two hosts, today's size, a majority is lost with either.
type Ownership struct {
	record  OwnershipRecord
	held    bool
	leaseUntil  time.Time
	consentUntil time.Time
	storelessUntil    time.Time
}

// Acquired notes that the record is in effect as the store answered it, with this
// process as its holder. It reports whether the process had the seat's former
// tenure too, so that no other host can have granted in between.
func (s *Ownership) Acquired(r OwnershipRecord) (kept bool) {
	kept = s.held && s.record.Tenure+1 >= r.Tenure
	*s = Ownership{record: r, held: true}
	return kept
}

// BeginSwap notes that the holder is about to swap its own record, for a new
// lease or another witness. Until Acquired the store may hold either record, and a
// successor asks only the witness of the one that it reads; so the consent of
// the old one counts no more.
func (s *Ownership) BeginSwap() {
	s.record.Witness = Process{}
	s.consentUntil = time.Time{}
}

// Lost ends the tenure: the record is another's, or may be.
func (s *Ownership) Lost() {
	*s = Ownership{}
}

// LeaseRenewed notes that the lease of that name stands in the store until the given
// time of the holder's own clock, counted from when the renewal was sent. A lease
// other than the record's proves nothing.
func (s *Ownership) LeaseRenewed(lease uint64, until time.Time) {
	if lease == s.record.Lease && until.After(s.leaseUntil) {
		s.leaseUntil = until
		s.storelessUntil = until.Add(MaxTenureWithoutStore)
	}
}

// Consented notes that the witness consented to an ask that was sent at sent.
func (s *Ownership) Consented(sent time.Time, by Process, tenure uint64) {
	if by == s.record.Witness && tenure == s.record.Tenure {
		s.consentUntil = sent.Add(ConsentLifetime)
	}
}

// CanGrant reports whether the holder may grant at now. It is asked anew for each
// grant, with a clock that has counted any pause, so that a holder that wakes
// stops before it does anything.
func (s *Ownership) CanGrant(now time.Time) bool {
	if !s.held {
		return false
	}
	return now.Before(s.leaseUntil) || now.Before(s.consentUntil) && now.Before(s.storelessUntil)
}

// Held reports whether the process takes itself for the holder.
func (s *Ownership) Held() bool {
	return s.held
}

// Record returns the record of the tenure.
func (s *Ownership) Record() OwnershipRecord {
	return s.record
}

// Until returns the end of the lease, from which on consent is needed.
func (s *Ownership) Until() time.Time {
	return s.leaseUntil
}

// Witness keeps what one process has consented to. The zero Witness works.
type Witness struct {
	// Since is when the process started: a former one of the same host may have
	// consented until shortly before.
	Since time.Time

	consents map[OwnershipID]consent
}

type consent struct {
	// withdrawnTenure is the highest tenure that gets no consent any more.
	withdrawnTenure uint64
	expiresAt     time.Time
}

// Consent answers a holder: whether its tenure may go on for ConsentLifetime.
func (w *Witness) Consent(now time.Time, id OwnershipID, tenure uint64) bool {
	c := w.consents[id]
	if tenure <= c.withdrawnTenure {
		return false
	}
	c.expiresAt = now.Add(consentCountedFor)
	w.setConsent(id, c)
	return true
}

// Withdraw answers a successor, which has seen in the store that the holder's
// lease is gone. No tenure up to the given one gets consent any more; the answer
// is how long the last consent may still stand.
func (w *Witness) Withdraw(now time.Time, id OwnershipID, tenure uint64) time.Duration {
	c := w.consents[id]
	c.withdrawnTenure = max(c.withdrawnTenure, tenure)
	w.setConsent(id, c)
	return max(0, c.expiresAt.Sub(now), w.Since.Add(consentCountedFor).Sub(now))
}

func (w *Witness) setConsent(id OwnershipID, c consent) {
	if w.consents == nil {
		w.consents = map[OwnershipID]consent{}
	}
	w.consents[id] = c
}

// Step is what a host that wants a seat does next.
type Step string

// The steps of a claim.
const (
	// StepIdle: another host holds the seat.
	StepIdle Step = "rest"
	// StepAdopt: the record already names this process, so the answer to its
	// swap was lost.
	StepAdopt Step = "adopt"
	// StepWithdraw: ask the witness to withdraw its consent.
	StepWithdraw Step = "withdraw"
	// StepWait: a former consent or hold hasn't ended.
	StepWait Step = "wait"
	// StepSwap: put the own process into the record.
	StepSwap Step = "swap"
)

// Claim is a host's attempt to take a seat. The zero Claim works.
type Claim struct {
	record OwnershipRecord
	// leaseGoneAt is when the claimant first saw that the holder's lease was leaseGoneAt.
	leaseGoneAt time.Time
	// consentEndsAt is when the withdrawn consent has ended; zero before the answer.
	consentEndsAt time.Time
	// pendingTenure is one more than the tenure of the record that a swap of this
	// process may yet replace, as its answer hasn't come.
	pendingTenure uint64
}

// Next returns the step to take after the store has shown the record r, and
// whether the lease of its holder stands.
func (c *Claim) Next(now time.Time, self Process, lease uint64, r OwnershipRecord, leased bool) Step {
	if r.Holder == self && r.Lease == lease {
		return c.stepForOwnRecord(r)
	}
	if r.Holder == self || r.Holder == (Process{}) {
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

// Tried notes that a swap of the record r has been sent, be it for another
// witness, another lease, or to give the seat up.
func (c *Claim) Tried(r OwnershipRecord) {
	c.pendingTenure = r.Tenure + 1
}

// stepForOwnRecord returns the step for a record that names this process. As long as a swap
// of it may be under way, the record may be replaced at any moment by one with
// another witness or none; only a later swap, which that one then fails after,
// makes sure.
func (c *Claim) stepForOwnRecord(r OwnershipRecord) Step {
	if c.pendingTenure == r.Tenure+1 {
		return StepSwap
	}
	return StepAdopt
}

// Withdrawn takes in the witness's answer to StepWithdraw for record r.
func (c *Claim) Withdrawn(now time.Time, r OwnershipRecord, remains time.Duration) {
	if c.record == r {
		c.consentEndsAt = now.Add(remains)
	}
}

// ClaimedRecord returns the record that a claim puts in the place of r.
func ClaimedRecord(r OwnershipRecord, self Process, lease uint64, witness Process) OwnershipRecord {
	return OwnershipRecord{Holder: self, Lease: lease, Witness: witness, Tenure: r.Tenure + 1}
}
