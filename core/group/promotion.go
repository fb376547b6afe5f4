package group

import (
	"maps"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Act is one step that an instance is asked to take.
type Act string

// The acts of a change of primary.
const (
	ActFence   Act = "fence"
	ActPromote Act = "promote"
	ActFollow  Act = "follow"
)

// Command is one step for one instance to take. Primary and Address are set for
// ActFollow.
type Command struct {
	Act      Act            `json:"act"`
	Instance fleet.Instance `json:"instance"`
	Term     fleet.Term     `json:"term"`
	Proposer fleet.Host     `json:"proposer,omitempty"`
	Primary  fleet.Instance `json:"primary,omitempty"`
	Address  string         `json:"address,omitempty"`
}

// Phase is how far a promotion has come.
type Phase string

// The phases of a promotion.
const (
	PhaseFence   Phase = "fence"
	PhasePromote Phase = "promote"
	PhaseDone    Phase = "done"
	PhaseFailed  Phase = "failed"
)

// extraFenceWait is how long a promotion waits for more than a majority to be fenced.
// With acknowledge = primary the further instance may hold writes that the
// majority lacks; three round trips at 1 ms links leave room for jitter.
const extraFenceWait = 20 * time.Millisecond

// promotionTimeout ends a promotion whose answers are lost, so that the next one
// can start in a later term.
const promotionTimeout = 2 * time.Second

// Promotion is one proposer's way through one change of primary: it fences a
// majority of the instances at a new term, promotes the one of them with the
// highest last entry, and points the others at it.
//
// A Promotion is abandoned without harm at any step. It never asks two
// instances to serve in one term: when the answer to ActPromote is lost, the
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

// Promote starts a promotion. proposer has to be unique to this promotion in
// the whole fleet, as Proposer makes it.
//
// Instances in excluded are fenced but not promoted, such as those that leave.
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

// Ended reports whether the promotion has come to its end.
func (p *Promotion) Ended() bool {
	return p.Phase == PhaseDone || p.Phase == PhaseFailed
}

// Done takes up an instance's answer to an order and returns what to do next.
// Answers to another promotion's orders are passed over.
func (p *Promotion) Done(now time.Time, c Command, st fleet.Status, err error) []Command {
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

// Tick ends the wait for further instances, and a promotion that hangs.
func (p *Promotion) Tick(now time.Time) []Command {
	if p.Ended() {
		return nil
	}
	if now.Sub(p.started) > promotionTimeout {
		p.Phase, p.Reason = PhaseFailed, "answers are missing"
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
		p.Phase, p.Reason = PhaseFailed, "no instance that is fenced may be promoted"
		return nil
	}
	p.Phase, p.Target = PhasePromote, p.rules.mostAdvanced(from, p.memberNames())
	return []Command{p.command(ActPromote, p.Target)}
}

// candidates returns the fenced instances that may be promoted, and whether
// they are a majority by themselves: only then one of them is sure to have every
// acknowledged write when others are left out.
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

// followCommands has all others follow the new primary. Those that don't get the order
// are left to Repair.
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

// Repair returns the orders that make replicas of all instances that don't
// follow the primary: those that a promotion has left out, and the former
// primary once it is back. An instance that has promised a later term is left
// alone, since it would refuse.
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
