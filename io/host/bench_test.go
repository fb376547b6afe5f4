package host_test

import (
	"sync"
	"testing"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/host"
)

// echo answers each exchange at once with a small row.
var echo = exchange.Runner{
	Run: func(_ *exchange.Request, r exchange.Reply) {
		_ = r.Send(row)
		r.Done(exchange.Result{Outcome: exchange.OutcomeDone, Status: exchange.TxIdle})
	},
}

var row = make([]byte, 100)

// BenchmarkForward measures one exchange over loopback TCP, both hosts in this
// process, by how many are in progress at a time on one stream. The runner
// "direct" is the same without the stream.
func BenchmarkForward(b *testing.B) {
	h := serve(b, &host.Server{Runner: echo})
	p := dial(b, h, &host.Peers{})
	for _, way := range []struct {
		name   string
		runner exchange.Runner
	}{{"direct", echo}, {"stream", p.Runner("holder")}} {
		for _, c := range []struct {
			name string
			at   int
		}{{"1", 1}, {"16", 16}, {"256", 256}} {
			b.Run(way.name+"/"+c.name, func(b *testing.B) { forward(b, way.runner, c.at) })
		}
	}
}

// forward runs b.N exchanges, at most at of them at a time.
func forward(b *testing.B, r exchange.Runner, at int) {
	b.ReportAllocs()
	payload := make([]byte, 100)
	var workers sync.WaitGroup
	todo := make(chan uint64, at)
	for range at {
		workers.Go(func() {
			done := make(chan exchange.Result, 1)
			reply := exchange.Reply{
				Send: func([]byte) error { return nil },
				Done: func(r exchange.Result) { done <- r },
			}
			for n := range todo {
				r.Run(&exchange.Request{ID: id(n), Service: "orders", Account: "hotel", Intent: exchange.IntentRead,
					Deadline: time.Now().Add(time.Minute), Payload: payload}, reply)
				if got := <-done; got.Outcome != exchange.OutcomeDone {
					b.Errorf("outcome %s: %v", got.Outcome, got.Refusal)
				}
			}
		})
	}
	for n := range b.N {
		todo <- uint64(n)
	}
	close(todo)
	workers.Wait()
}
