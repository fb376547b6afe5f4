package test_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/cmd"
	"skylarkdeal/io/etcd"
)

// Two operators get one version of a document, change the same rate and put it
// at the same moment. One wins; the other is told so, sees by which lines the
// two differ and sees no verifier. The winner's text is in effect on every host.
func TestOneOfTwoOperatorsLosesAndSeesTheDifference(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "race")
	code, text, errOut := f.document(t, "", "get", string(g.Name))
	qt.Assert(t, code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	rates := []string{"3000", "4000"}
	type put struct {
		code        int
		out, errOut string
	}
	puts := make([]put, len(rates))
	var both sync.WaitGroup
	for k, r := range rates {
		both.Go(func() {
			mine := strings.Replace(text, "rate = 5000/s", "rate = "+r+"/s", 1)
			p := &puts[k]
			p.code, p.out, p.errOut = f.document(t, mine, "put", "-")
		})
	}
	both.Wait()
	won, lost := 0, 1
	if puts[0].code != cmd.ExitOK {
		won, lost = 1, 0
	}
	qt.Assert(t, puts[won].code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", puts[won].errOut))
	qt.Assert(t, puts[lost].code, qt.Equals, cmd.ExitLost, qt.Commentf("%s", puts[lost].errOut))
	qt.Assert(t, puts[lost].errOut, qt.Contains, "- rate = "+rates[won]+"/s\n+ rate = "+rates[lost]+"/s\n")
	qt.Assert(t, puts[lost].errOut, qt.Not(qt.Contains), "SCRAM")
	var v document.Version
	_, err := fmt.Sscanf(puts[won].out, "version %d,", &v)
	qt.Assert(t, err, qt.IsNil)
	g.everywhere(t, v)
	_, text, _ = f.document(t, "", "get", string(g.Name))
	qt.Assert(t, text, qt.Contains, "rate = "+rates[won]+"/s")
}

// An operator puts a document with a slip: it is refused with its place, and the
// store keeps what it had.
func TestInvalidDocumentIsNotPut(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "slip")
	_, before, _ := f.document(t, "", "get", string(g.Name))
	slip := strings.Replace(before, "rate = 5000/s", "rate = fast", 1)
	code, _, errOut := f.document(t, slip, "put", "-")
	qt.Assert(t, code, qt.Equals, cmd.ExitInvalid)
	for _, want := range []string{`account "hotel"`, "rate", "fast"} {
		qt.Assert(t, errOut, qt.Contains, want)
	}
	_, after, _ := f.document(t, "", "get", string(g.Name))
	qt.Assert(t, after, qt.Equals, before)
}

// Another tool writes a document with mistakes into the store. Every host keeps
// the last good one in effect and serves by it; the state dump and a metric of
// the hosts that met the bad one tell of it. A good one that follows is in effect
// everywhere, and the metric goes back.
func TestInvalidDocumentInTheStoreChangesNothing(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "invalid")
	good, err := g.inEffect(f.hosts[0])
	qt.Assert(t, err, qt.IsNil)
	_, text, _ := f.document(t, "", "get", string(g.Name))
	_, text, _ = strings.Cut(text, "\n")
	bad := strings.Replace(text, "slots = 2", "slots = none", 1)
	s := etcd.Dial(etcd.Config{Endpoints: []string{f.store}})
	defer s.Close()
	ctx := testContext(t)
	qt.Assert(t, s.Put(ctx, document.StoreKey(settings.DefaultPrefix, g.Name), []byte(bad), 0), qt.IsNil)
	told := map[*host]bool{}
	eventually(t, func() error {
		for _, h := range f.hosts {
			if reportsInvalid(t, h, g.Name) {
				told[h] = true
			}
		}
		if len(told) == 0 {
			return fmt.Errorf("no host tells of the invalid document")
		}
		return nil
	})
	g.everywhere(t, good)
	for _, h := range f.hosts {
		g.served(t, h)
	}
	for h := range told {
		qt.Assert(t, metric(ctx, t, h, "skylarkdeal_documents_invalid"), qt.Equals, "1")
	}
	code, now, errOut := f.document(t, "", "get", string(g.Name))
	qt.Assert(t, code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	head, _, _ := strings.Cut(now, "\n")
	code, out, errOut := f.document(t, head+"\n"+text, "put", "-")
	qt.Assert(t, code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	var v document.Version
	_, err = fmt.Sscanf(out, "version %d,", &v)
	qt.Assert(t, err, qt.IsNil)
	g.everywhere(t, v)
	for h := range told {
		eventually(t, func() error {
			if n := metric(ctx, t, h, "skylarkdeal_documents_invalid"); n != "0" {
				return fmt.Errorf("%s counts %s invalid documents", h.name, n)
			}
			return nil
		})
	}
}

// reportsInvalid reports whether h's state dump names the service among those
// whose newest document is invalid, with the place of the mistake.
func reportsInvalid(t testing.TB, h *host, s fleet.Service) bool {
	t.Helper()
	var a struct {
		Documents struct {
			Invalid []struct {
				Service fleet.Service `json:"service"`
				Error   string        `json:"error"`
			} `json:"invalid"`
		} `json:"documents"`
	}
	qt.Assert(t, httpGet("http://"+h.operator+"/state?section=documents", &a), qt.IsNil)
	for _, i := range a.Documents.Invalid {
		if i.Service == s {
			return strings.Contains(i.Error, "slots")
		}
	}
	return false
}

// metric returns the value of a metric without labels.
func metric(ctx context.Context, t testing.TB, h *host, name string) string {
	t.Helper()
	for line := range strings.Lines(metrics(ctx, t, h)) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// metrics returns all metrics of h, as text.
func metrics(ctx context.Context, t testing.TB, h *host) string {
	t.Helper()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operator+"/metrics", nil)
	qt.Assert(t, err, qt.IsNil)
	r, err := http.DefaultClient.Do(q)
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}
