// Command scene plays one case of the review: it starts the platform's stand-ins, the entry hosts as processes with the
// command of the deploy file, and clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// scene is what a case plays with.
type scene struct {
	w       *world
	rec     *record
	hosts   []*host
	clients *clients
	// trouble is unset for a run without the disruption.
	trouble bool
}

// play is one case.
type play struct {
	services     []string
	syncReplicas int
	// perService is how many clients each service has, pause the time between two writes of one of them.
	perService int
	pause      time.Duration
	// run plays the disruption and judges. It returns the breaches, and an error if the case couldn't run.
	run func(s *scene) ([]string, error)
}

var plays = map[string]play{
	"sync-replica-leaves": syncReplicaLeaves,
	"slow-orders":         slowOrders,
}

func main() {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	p, ok := plays[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	os.Exit(runCase(p, *path, *trouble))
}

func runCase(p play, path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	breaches, err := playCase(p, rec, dir, trouble)
	switch {
	case err != nil:
		rec.note("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case len(breaches) == 0:
		rec.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	for _, b := range breaches {
		rec.note("BROKEN: %s", b)
	}
	fmt.Printf("the rule was broken %d times; the first: %s\n", len(breaches), breaches[0])
	return 1
}

// startWithin is how long the hosts have to become ready.
const startWithin = 20 * time.Second

func playCase(p play, rec *record, dir string, trouble bool) ([]string, error) {
	w := newWorld(rec, p.syncReplicas)
	w.store.Put("op/config", configuration(p.services, p.syncReplicas))
	if err := w.start(p.services, zones); err != nil {
		return nil, err
	}
	hosts, err := newHosts(dir, w)
	if err != nil {
		return nil, err
	}
	for _, h := range hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
		defer h.kill()
	}
	end := time.Now().Add(startWithin)
	for _, h := range hosts {
		if err := h.awaitReady(end); err != nil {
			return nil, err
		}
	}
	rec.note("all hosts are ready")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := &clients{w: w, rec: rec, hosts: hosts, pause: p.pause}
	for _, s := range p.services {
		for range p.perService {
			go c.run(ctx, s)
		}
	}
	return p.run(&scene{w: w, rec: rec, hosts: hosts, clients: c, trouble: trouble})
}
