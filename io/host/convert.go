package host

import (
	"time"

	"google.golang.org/protobuf/proto"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host/hostpb"
)

func toPoint(p *hostpb.Point) fleet.LogPosition {
	return fleet.LogPosition{Term: fleet.Term(p.GetTerm()), Index: fleet.LogIndex(p.GetPosition())}
}

func fromPoint(p fleet.LogPosition) *hostpb.Point {
	if p.IsZero() {
		return nil
	}
	return &hostpb.Point{Term: uint64(p.Term), Position: uint64(p.Index)}
}

// fromRequest states the deadline as what is left of it at now, so that the two
// hosts' clocks need not agree.
func fromRequest(q *exchange.Request, seq uint64, now time.Time) *hostpb.Exchange {
	x := &hostpb.Exchange{
		Seq: seq, Service: string(q.Service), Account: string(q.Account),
		Session: uint64(q.Session), Intent: string(q.Intent),
		MaxAgeUs: uint64(max(0, q.MaxAge.Microseconds())),
		Pin:      uint64(q.Pin), Payload: q.Payload,
		Priority: proto.Uint32(uint32(max(q.Priority, 0))),
	}
	if !q.Deadline.IsZero() {
		x.TimeoutUs = uint64(max(1, q.Deadline.Sub(now).Microseconds()))
	}
	if p, ok := q.After.Get(); ok {
		x.After = &hostpb.Point{Term: uint64(p.Term), Position: uint64(p.Index)}
	}
	for _, s := range q.Statements {
		x.Statements = append(x.Statements, &hostpb.Statement{Name: s.Name, Sql: s.SQL, Types: s.Types})
	}
	return x
}

func toRequest(x *hostpb.Exchange, from *hostpb.Hello, holder fleet.Host, now time.Time) *exchange.Request {
	q := &exchange.Request{
		ID:      exchange.ID{Host: fleet.Host(from.GetHost()), Epoch: from.GetEpoch(), Seq: x.GetSeq()},
		Service: fleet.Service(x.GetService()), Account: fleet.Account(x.GetAccount()),
		Session: exchange.SessionID(x.GetSession()), Intent: exchange.Intent(x.GetIntent()),
		MaxAge: time.Duration(x.GetMaxAgeUs()) * time.Microsecond,
		Pin:    exchange.Pin(x.GetPin()), Payload: x.GetPayload(),
		Priority: toPriority(x),
	}
	if t := x.GetTimeoutUs(); t > 0 {
		q.Deadline = now.Add(time.Duration(t) * time.Microsecond)
	}
	if q.Pin != 0 {
		q.Holder = holder
	}
	if x.GetAfter() != nil {
		q.After = fleet.Some(toPoint(x.GetAfter()))
	}
	for _, s := range x.GetStatements() {
		q.Statements = append(q.Statements,
			exchange.Statement{Name: s.GetName(), SQL: s.GetSql(), Types: s.GetTypes()})
	}
	return q
}

// toPriority reads the priority of an exchange: the default one from an earlier build. The holder checks the
// range.
func toPriority(x *hostpb.Exchange) fleet.Priority {
	if x.Priority == nil {
		return fleet.DefaultPriority
	}
	return fleet.Priority(x.GetPriority())
}

func fromResult(r exchange.Result, seq uint64) *hostpb.Done {
	d := &hostpb.Done{
		Seq: seq, Outcome: string(r.Outcome), Status: uint32(r.Status), Point: fromPoint(r.Position),
		Instance: string(r.Instance), Role: string(r.Role), Pin: uint64(r.Pin),
	}
	if f := r.Refusal; f != nil {
		d.Refusal = &hostpb.Refusal{
			Code: string(f.Code), Message: f.Message, RetryAfterUs: uint64(max(0, f.RetryAfter.Microseconds())),
			Step: string(f.Step), Peer: string(f.Peer),
		}
	}
	return d
}

// toResult reads a holder's Done. An outcome that this version doesn't know
// counts as unknown: only a word that it does know may promise more.
func toResult(d *hostpb.Done, holder fleet.Host) exchange.Result {
	r := exchange.Result{
		Outcome: exchange.Outcome(d.GetOutcome()), Status: exchange.TxStatus(d.GetStatus()),
		Position: toPoint(d.GetPoint()), Instance: fleet.Instance(d.GetInstance()),
		Role: fleet.Role(d.GetRole()), Pin: exchange.Pin(d.GetPin()),
	}
	switch r.Outcome {
	case exchange.OutcomeDone, exchange.OutcomeNotRun, exchange.OutcomeUnknown:
	default:
		r.Outcome = exchange.OutcomeUnknown
	}
	if r.Pin != 0 {
		r.Holder = holder
	}
	if f := d.GetRefusal(); f != nil {
		r.Refusal = &failure.Refusal{
			Code: failure.Code(f.GetCode()), Message: f.GetMessage(),
			RetryAfter: time.Duration(f.GetRetryAfterUs()) * time.Microsecond,
			Step:       failure.Step(f.GetStep()), Peer: failure.Peer(f.GetPeer()),
		}
	}
	if r.Refusal == nil && r.Outcome != exchange.OutcomeDone {
		r.Refusal = &failure.Refusal{Code: failure.CodeUnknownOutcome, Message: "outcome unknown",
			Step: stepForward, Peer: peerName(holder)}
	}
	return r
}
