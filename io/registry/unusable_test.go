package registry_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/registry"
)

// Guards against followers that lose their link to a reader, or the store's list, because another writer has left a few
// entries of the greatest length among those of the instances; and against a log that such a writer fills.
func TestUnusableEntriesAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	logs, lines := observer.New(zap.WarnLevel)
	cfg := config(newMemStore(), &callbackLog{}, 0, 0, 0)
	cfg.Logger = zap.New(logs)
	cfg.ParseInstance = func(e registry.Entry) (catalog.Instance, error) {
		if !strings.HasPrefix(string(e.Value), "i-") {
			return catalog.Instance{}, errors.New("odd")
		}
		return catalog.Instance{Name: fleet.Instance(e.Value)}, nil
	}
	var passed follow.PartCopy[[]registry.Entry]
	cfg.PartRead = func(_ follow.Part, p follow.PartCopy[[]registry.Entry]) { passed = p }
	r := registry.New(cfg)
	odd := strings.Repeat("x", 1<<20)
	list := func(revision registry.Revision) {
		body := []registry.Entry{{Key: "instances/a", Value: []byte("i-a"), Revision: 1}}
		for n := range 50 {
			body = append(body, registry.Entry{Key: fmt.Sprint("instances/odd", n), Value: []byte(odd), Revision: revision})
		}
		r.ApplyPart(follow.PartInstances, follow.PartCopy[[]registry.Entry]{
			Version: follow.Version(revision), CompleteTo: revision, ReadAt: time.Now(), HasBody: true, Body: body,
		})
	}
	list(2)
	c.Assert(passed.Body, qt.HasLen, 51)
	before, size := passed.Body, 0
	for _, e := range before {
		size += len(e.Value)
	}
	c.Check(size, qt.Equals, len("i-a"))
	c.Check(r.UnusableEntries(), qt.Equals, 50)
	list(3)
	changes, _ := registry.Diff(before, passed.Body)
	c.Check(changes, qt.HasLen, 0)
	c.Check(lines.FilterMessage("entry names no instance to use").Len(), qt.Equals, 20)
}

// Guards against an instance that stays out of use once its entry, which another writer had replaced, is its own again.
func TestEntryBecomesUsableAgain(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("instances/a", "i-a")
	r, got := startRegistry(c, s)
	until(c, got, "the instance", func() bool { return got.instances == 1 })
	s.put("instances/a", "")
	until(c, got, "no instance", func() bool { return got.instances == 0 && r.UnusableEntries() == 1 })
	s.put("instances/a", "i-a")
	until(c, got, "the instance again", func() bool { return got.instances == 1 && r.UnusableEntries() == 0 })
}
