package operator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/io/operator"
)

func get(c *qt.C, url string) (int, string) {
	r, err := http.Get(url)
	c.Assert(err, qt.IsNil)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	return r.StatusCode, string(b)
}

func TestOperatorsSeeStateAndReadiness(t *testing.T) {
	c := qt.New(t)
	notReady := errors.New("no document yet")
	s, err := operator.Start(operator.Config{
		Address: "127.0.0.1:0",
		Sections: []operator.Section{
			{Name: "host", Read: func() any { return map[string]string{"name": "h1"} }},
			{Name: "groups", Read: func() any { return []string{} }},
		},
		Ready: func() error { return notReady },
	})
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(s.Close(context.Background()), qt.IsNil) }()
	base := "http://" + s.Addr()

	status, body := get(c, base+"/readyz")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Equals, "no document yet\n")
	notReady = nil
	status, _ = get(c, base+"/readyz")
	c.Check(status, qt.Equals, http.StatusOK)

	_, body = get(c, base+"/state?section=host")
	c.Check(body, qt.JSONEquals, map[string]any{"host": map[string]string{"name": "h1"}})
	status, body = get(c, base+"/state?section=hosts")
	c.Check(status, qt.Equals, http.StatusNotFound)
	c.Check(body, qt.Contains, "there are: host, groups")
	status, _ = get(c, base+"/debug/pprof/")
	c.Check(status, qt.Equals, http.StatusNotFound)
}
