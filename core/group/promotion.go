package group

import (
	"maps"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Act is the kind of a Command.
type Act string

// The acts of a change of primary.
const (
	ActFence   Act = "fence"
	ActPromote Act = "promote"
	ActFollow  Act = "follow"
)

// Command asks one instance to take one step of a change of primary. Proposer is set
// for ActFence and ActPromote, Primary and Address for ActFollow.
type Command struct {
	Act      Act            `json:"act"`
	Instance fleet.Instance `json:"instance"`
	Term     fleet.Term     `json:"term"`
	Proposer fleet.Host     `json:"proposer,omitempty"`
	Primary  fleet.Instance `json:"primary,omitempty"`
	Address  string         `json:"address,omitempty"`
}

// Phase is the progress of a promotion.
type Phase string

// The phases of a promotion.
const (
	PhaseFence   Phase = "fence"
	PhasePromote Phase = "promote"
	PhaseDone    Phase = "done"
	PhaseFailed  Phase = "failed"
)

// extraFenceWait is how long a promotion waits for further instances once a majority is
// fenced. With acknowledge = primary such an instance may hold acknowledged writes
// that the majority lacks. The time covers three round trips over links of 1 ms and
// leaves room for jitter.
const extraFenceWait = 20 * time.Millisecond

// promotionTimeout ends a promotion whose answers were lost, so that the next one can
// start in a later term.
const promotionTimeout = 2 * time.Second

// Promotion is one attempt of one proposer to change the primary. It fences a
// majority of the instances at a new term, promotes the fenced instance with the
// highest last entry and makes the others follow it.
//
// A Promotion may be abandoned at any step without harm. It never asks two
// instances to serve in one term: if the answer to ActPromote is lost, the
// instance may be the primary, and the next Promotion has a later term.
type Promotion struct {
	Term     fleet.Term     `json:"term"`
	Proposer fleet.Host     `json:"proposer"`
	Phase    Phase          `json:"phase"`
	Target   fleet.Instance `json:"target"`
	Reason   string         `json:"reason"`

	rules    Rules
	started  time.Time
	members  []document.Instance
	excluded fleet.Set[fleet.Instance]
	fenced   map[fleet.Instance]fleet.Status
	refused  fleet.Set[fleet.Instance]
}

// Promote starts a promotion and returns its first commands. proposer has to be
// unique to this promotion in the whole fleet; Proposer returns such a name.
//
// Instances in excluded, such as leaving ones, are fenced but not promoted.
func Promote(now time.Time, s Snapshot, proposer fleet.Host,
	excluded fleet.Set[fleet.Instance]) (*Promotion, []Command) {
	p := &Promotion{
		Term:     nextTerm(s),
		Proposer: proposer,
		Phase:    PhaseFence,
		rules:    s.Rules,
		started:  now,
		excluded: excluded,
		fenced:   make(map[fleet.Instance]fleet.Status),
		refused:  fleet.NewSet[fleet.Instance](),
	}
	commands := make([]Command, 0, len(s.Observations))
	for _, o := range s.Observations {
		p.members = append(p.members, o.Instance)
		commands = append(commands, p.command(ActFence, o.Instance.Name))
	}
	return p, commands
}

func nextTerm(s Snapshot) fleet.Term {
	var n fleet.Term
	for _, o := range s.Observations {
		n = max(n, o.Status.Promised, o.Status.Last.Term)
	}
	return n + 1
}

func (p *Promotion) command(a Act, n fleet.Instance) Command {
	return Command{Act: a, Instance: n, Term: p.Term, Proposer: p.Proposer}
}

// Ended reports whether the promotion is done or has failed.
func (p *Promotion) Ended() bool {
	return p.Phase == PhaseDone || p.Phase == PhaseFailed
}

// HandleAnswer handles an instance's answer to a command, or the error in its place, and
// returns the next commands. It ignores answers to commands of another promotion.
func (p *Promotion) HandleAnswer(now time.Time, c Command, st fleet.Status, err error) []Command {
	if p.Ended() || c.Term != p.Term || c.Proposer != p.Proposer {
		return nil
	}
	if c.Act == ActPromote {
		return p.handlePromoteAnswer(st, err)
	}
	if c.Act != ActFence || p.Phase != PhaseFence {
		return nil
	}
	if !p.rules.fenced(st, err, p.Term) {
		p.refused.Add(c.Instance)
	} else {
		p.fenced[c.Instance] = st
	}
	return p.selectTarget(now)
}

// Tick ends the wait for further instances after extraFenceWait and the promotion
// after promotionTimeout. It returns the next commands.
func (p *Promotion) Tick(now time.Time) []Command {
	if p.Ended() {
		return nil
	}
	if now.Sub(p.started) > promotionTimeout {
		p.Phase, p.Reason = PhaseFailed, "timed out, answers are missing"
		return nil
	}
	return p.selectTarget(now)
}

func (p *Promotion) selectTarget(now time.Time) []Command {
	if p.Phase != PhaseFence {
		return nil
	}
	need := p.rules.majority(len(p.members))
	if len(p.members)-len(p.refused) < need {
		p.Phase, p.Reason = PhaseFailed, "a majority refused the term or can't be reached"
		return nil
	}
	all := len(p.fenced)+len(p.refused) == len(p.members)
	if len(p.fenced) < need || !all && now.Sub(p.started) < extraFenceWait {
		return nil
	}
	from, ok := p.candidates()
	if !ok && !all {
		return nil
	}
	if !ok {
		p.Phase, p.Reason = PhaseFailed, "too few fenced instances may be promoted"
		return nil
	}
	p.Phase, p.Target = PhasePromote, p.rules.mostAdvanced(from, p.memberNames())
	return []Command{p.command(ActPromote, p.Target)}
}

// candidates returns the fenced instances that may be promoted, and whether they are
// a majority of all. Only then one of them is sure to have every acknowledged write
// although others are excluded.
func (p *Promotion) candidates() (map[fleet.Instance]fleet.Status, bool) {
	out := maps.Clone(p.fenced)
	for n := range p.excluded {
		delete(out, n)
	}
	return out, len(out) >= p.rules.majority(len(p.members))
}

func (p *Promotion) handlePromoteAnswer(st fleet.Status, err error) []Command {
	if p.Phase != PhasePromote {
		return nil
	}
	if err != nil || st.Role != fleet.RolePrimary || st.Last.Term != p.Term {
		p.Phase, p.Reason = PhaseFailed, "the promotion was refused or its answer is missing"
		return nil
	}
	p.Phase = PhaseDone
	return p.followCommands()
}

func (p *Promotion) memberNames() []fleet.Instance {
	out := make([]fleet.Instance, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, m.Name)
	}
	return out
}

// followCommands returns the commands that make all others follow the new primary.
// Repair makes up for commands that don't arrive.
func (p *Promotion) followCommands() []Command {
	var commands []Command
	var address string
	for _, m := range p.members {
		if m.Name == p.Target {
			address = m.Address
		}
	}
	for _, m := range p.members {
		if m.Name != p.Target {
			commands = append(commands, Command{
				Act: ActFollow, Instance: m.Name, Term: p.Term, Primary: p.Target, Address: address,
			})
		}
	}
	return commands
}

// Repair returns commands for the instances that don't follow the primary: those that a
// promotion left out, and the former primary once it is back. An instance that has
// promised a later term gets no command, since it would refuse.
func Repair(s Snapshot) []Command {
	primary, ok := s.Find(s.Primary)
	if !ok {
		return nil
	}
	var commands []Command
	for _, o := range s.Observations {
		if !o.Known() || o.Instance.Name == s.Primary || o.Status.Promised > s.Term {
			continue
		}
		st := o.Status
		if st.Role == fleet.RoleReplica && st.Follows == s.Primary && st.Promised == s.Term {
			continue
		}
		commands = append(commands, Command{
			Act: ActFollow, Instance: o.Instance.Name, Term: s.Term,
			Primary: s.Primary, Address: primary.Instance.Address,
		})
	}
	return commands
}
