package host_test

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/io/host"
)

var allowUnexported = []cmp.Option{cmp.Exporter(func(reflect.Type) bool { return true })}

func TestLostStreamTellsWhatMayHaveRun(t *testing.T) {
	// A user sees "outcome unknown" for an order, and a lookup that is tried
	// again. The holder dies after it was handed both; a third exchange, begun
	// while nobody listens, is refused as not run.
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r})
	p := dial(t, h, &host.Peers{})
	to := p.Runner("holder")
	write := run(to, &exchange.Request{ID: id(1), Intent: exchange.IntentWrite})
	read := run(to, &exchange.Request{ID: id(2), Intent: exchange.IntentRead})
	await(c, "write", runs)
	await(c, "read", runs)
	h.close()
	w, d := await(c, "write's result", write.result), await(c, "read's result", read.result)
	c.Check(w.Outcome, qt.Equals, exchange.OutcomeUnknown)
	c.Check(w.Refusal.Code, qt.Equals, failure.CodeUnknownOutcome)
	c.Check(d.Outcome, qt.Equals, exchange.OutcomeUnknown)
	c.Check(d.Refusal.Code, qt.Equals, failure.CodeUnreachable)
	late := await(c, "third result", run(to, &exchange.Request{ID: id(3), Intent: exchange.IntentWrite}).result)
	c.Check(late.Outcome, qt.Equals, exchange.OutcomeNotRun)
	c.Check(len(runs), qt.Equals, 0)
}

func TestEndOfStreamRollsBack(t *testing.T) {
	// A user's transaction is open when its entry host dies: the order in it
	// must not be committed, and its locks must go.
	c := qt.New(t)
	r, runs, cancels, releases := recorder()
	h := serve(t, &host.Server{Runner: r})
	p := dial(t, h, &host.Peers{})
	to := p.Runner("holder")
	begin := run(to, &exchange.Request{ID: id(1)})
	open := exchange.Result{Outcome: exchange.OutcomeDone, Status: exchange.TxOpen, Pin: 5}
	await(c, "begin", runs).reply.Done(open)
	c.Check(await(c, "begun", begin.result).Pin, qt.Equals, exchange.Pin(5))
	run(to, &exchange.Request{ID: id(2), Pin: 5})
	inTx := await(c, "statement", runs)
	stranger := await(c, "stranger", run(to, &exchange.Request{ID: id(3), Pin: 6}).result)
	c.Check(stranger.Outcome, qt.Equals, exchange.OutcomeNotRun)
	run(to, &exchange.Request{ID: id(4)})
	second := await(c, "second begin", runs)
	p.Close()
	await(c, "cancel", cancels)
	c.Check(await(c, "release", releases), qt.Equals, exchange.Pin(5))
	inTx.reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
	open.Pin = 8
	second.reply.Done(open) // begun after its host had gone
	c.Check(await(c, "release", releases), qt.Equals, exchange.Pin(8))
}

func TestCallerThatDoesNotReadBlocksNoOther(t *testing.T) {
	// One caller stops reading a large answer; all others on the same pair of
	// hosts would hang if its rows filled the stream.
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r})
	p := dial(t, h, &host.Peers{})
	to := p.Runner("holder")
	unread, reading := make(chan struct{}), make(chan struct{}, 99)
	slow := make(chan exchange.Result, 1)
	to.Run(&exchange.Request{ID: id(1), Deadline: time.Now().Add(time.Minute)}, exchange.Reply{
		Send: func([]byte) error { reading <- struct{}{}; <-unread; return nil },
		Done: func(r exchange.Result) { slow <- r },
	})
	big := await(c, "slow exchange", runs)
	sent := make(chan int, 1)
	go func() {
		n := 0
		for range 30 {
			n += 100 << 10
			if big.reply.Send(make([]byte, 100<<10)) != nil {
				break
			}
		}
		sent <- n
		big.reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
	}()
	await(c, "first rows", reading)
	for n := range uint64(50) {
		a := run(to, &exchange.Request{ID: id(n + 2)})
		await(c, "other exchange", runs).reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
		c.Assert(await(c, "other result", a.result).Outcome, qt.Equals, exchange.OutcomeDone)
	}
	c.Check(len(sent), qt.Equals, 0, qt.Commentf("3 MB were sent to a caller that reads nothing"))
	go func() {
		for range reading { //nolint:revive // drained until closed
		}
	}()
	close(unread)
	c.Check(await(c, "slow result", slow).Outcome, qt.Equals, exchange.OutcomeDone)
	close(reading)
}

func TestOverdueAnswerIsUnknownAndCancelled(t *testing.T) {
	// A holder hangs on an order: the caller gets "outcome unknown" by its
	// deadline, and an answer that comes later reaches nobody.
	c := qt.New(t)
	r, runs, cancels, releases := recorder()
	h := serve(t, &host.Server{Runner: r})
	p := dial(t, h, &host.Peers{})
	to := p.Runner("holder")
	a := run(to, &exchange.Request{ID: id(1), Deadline: time.Now().Add(30 * time.Millisecond)})
	late := await(c, "exchange", runs)
	got := await(c, "result", a.result)
	c.Check(got.Outcome, qt.Equals, exchange.OutcomeUnknown)
	await(c, "cancel", cancels)
	again := run(to, &exchange.Request{ID: id(1)})
	retried := await(c, "retry", runs)
	c.Assert(late.reply.Send([]byte("stale")), qt.IsNil)
	late.reply.Done(exchange.Result{Outcome: exchange.OutcomeDone, Pin: 4})
	c.Check(await(c, "release of the late transaction", releases), qt.Equals, exchange.Pin(4))
	c.Assert(retried.reply.Send([]byte("own")), qt.IsNil)
	retried.reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
	await(c, "retry's result", again.result)
	c.Check(again.data.String(), qt.Equals, "own")
}

func TestOverdueStatementEndsItsTransaction(t *testing.T) {
	// A statement inside a transaction hangs past its deadline. The entry host
	// no longer knows what the transaction holds, so it must not stay open.
	c := qt.New(t)
	r, runs, _, releases := recorder()
	h := serve(t, &host.Server{Runner: r})
	p := dial(t, h, &host.Peers{})
	to := p.Runner("holder")
	begin := run(to, &exchange.Request{ID: id(1)})
	await(c, "begin", runs).reply.Done(exchange.Result{Outcome: exchange.OutcomeDone, Pin: 5})
	await(c, "begun", begin.result)
	hung := run(to, &exchange.Request{ID: id(2), Pin: 5, Deadline: time.Now().Add(30 * time.Millisecond)})
	await(c, "statement", runs)
	c.Check(await(c, "result", hung.result).Outcome, qt.Equals, exchange.OutcomeUnknown)
	c.Check(await(c, "release", releases), qt.Equals, exchange.Pin(5))
}

func TestDrainWaitsForTransactions(t *testing.T) {
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r})
	p := dial(t, h, &host.Peers{})
	to := p.Runner("holder")
	begin := run(to, &exchange.Request{ID: id(1)})
	await(c, "begin", runs).reply.Done(exchange.Result{Outcome: exchange.OutcomeDone, Pin: 1})
	await(c, "begun", begin.result)
	drained := make(chan error, 1)
	ctx := t.Context()
	go func() { drained <- h.Drain(ctx) }()
	for {
		refused := run(to, &exchange.Request{ID: id(2)})
		select {
		case s := <-runs:
			s.reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
			continue
		case got := <-refused.result:
			c.Check(got.Refusal.Code, qt.Equals, failure.CodeShuttingDown)
		}
		break
	}
	commit := run(to, &exchange.Request{ID: id(3), Pin: 1})
	c.Check(len(drained), qt.Equals, 0)
	await(c, "commit", runs).reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
	await(c, "committed", commit.result)
	c.Check(await(c, "drained", drained), qt.IsNil)
}

func TestTooLargeHarmsNoOther(t *testing.T) {
	// One caller sends, or asks for, more than one message between hosts holds.
	// It alone gets an error; the others on the stream notice nothing.
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r, MessageLimit: 100 << 10})
	p := dial(t, h, &host.Peers{MessageLimit: 100 << 10})
	to := p.Runner("holder")
	other := run(to, &exchange.Request{ID: id(1)})
	open := await(c, "other exchange", runs)
	sent := run(to, &exchange.Request{ID: id(2), Payload: make([]byte, 101<<10)})
	got := await(c, "refusal", sent.result)
	c.Check(got.Outcome, qt.Equals, exchange.OutcomeNotRun)
	c.Check(got.Refusal.Code, qt.Equals, failure.CodeTooLarge)
	asked := run(to, &exchange.Request{ID: id(3), Payload: make([]byte, 99<<10)})
	large := await(c, "large exchange", runs)
	c.Check(large.reply.Send(make([]byte, 101<<10)), qt.IsNotNil)
	large.reply.Done(exchange.Result{Outcome: exchange.OutcomeUnknown})
	await(c, "large result", asked.result)
	open.reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
	c.Check(await(c, "other result", other.result).Outcome, qt.Equals, exchange.OutcomeDone)
}

// Guards against a host that locks up while it shuts down, or while its state is read, as exchanges start: no
// statement that other hosts forward to it is answered any more.
func TestExchangesStartWhileTheServerLooksAtItsStreams(t *testing.T) {
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r})
	to := dial(t, h, &host.Peers{}).Runner("holder")
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				h.State()
			}
		}
	}()
	for n := range uint64(2000) {
		x := run(to, &exchange.Request{ID: id(n + 1)})
		await(c, "exchange", runs).reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
		await(c, "result", x.result)
	}
	close(stop)
	<-stopped
}
