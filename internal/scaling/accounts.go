package main

import (
	"context"
	"sync"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/grants"
)

var accountColumns = []string{"documents", "B/account", "cpu-ms/s"}

// measureAccounts measures a host that is the home of all accounts of so many
// documents, eight in each, while nothing is asked of it. At the target size a
// host has all accounts, but is the home of few.
func measureAccounts(ctx context.Context, documents int) (row, error) {
	all := map[fleet.Service]*document.Document{}
	for n := range documents {
		d, err := document.Parse(documentText(n, exampleVerifier), document.Version(n+1))
		if err != nil {
			return row{}, err
		}
		all[d.Service] = d
	}
	self := fleet.Member{Host: "obihiro-1", DataCentre: "obihiro", Peer: "10.0.0.1:6433"}
	before := memory()
	r := grants.New(grants.Config{
		Host: self.Host, DataCentre: self.DataCentre, Epoch: 1,
		Documents: func(s fleet.Service) (*document.Document, bool) { d, ok := all[s]; return d, ok },
		Members:   func() []fleet.Member { return []fleet.Member{self} },
	})
	ctx, cancel := context.WithCancel(ctx)
	var duty sync.WaitGroup
	duty.Go(func() { _ = r.Run(ctx) })
	defer duty.Wait()
	defer cancel()
	for _, d := range all {
		r.DocumentChanged(d)
	}
	cpu, err := idleCPU()
	each := (memory() - before) / float64(documents*documentAccounts)
	return row{values: []float64{float64(documents), each, cpu}}, err
}
