package store_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/io/etcd"
	"skylarkdeal/io/etcd/etcdpb"
	"skylarkdeal/io/etcd/etcdpb/etcdpbconnect"
	"skylarkdeal/standin/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func start(c *qt.C) (*store.Server, *etcd.Store) {
	s, err := store.Start(store.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	p := etcd.Dial(etcd.Config{Endpoints: []string{s.Addr()}, Patient: true, Rate: 1000, Burst: 1000})
	c.Cleanup(p.Close)
	return s, p
}

func ask(c *qt.C, s *store.Server, path string) (int, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + s.Addr() + path)
	c.Assert(err, qt.IsNil)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	return r.StatusCode, strings.TrimSpace(string(b))
}

func TestFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, p := start(c)
	c.Assert(p.Put(ctx, "/k", []byte("1"), 0), qt.IsNil)
	c.Assert(p.Put(ctx, "/k", []byte("2"), 0), qt.IsNil)

	code, _ := ask(c, s, "/fault?past=2")
	c.Assert(code, qt.Equals, http.StatusOK)
	e, err := p.Get(ctx, "/k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "1")

	code, state := ask(c, s, "/fault?past=0&down=true")
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(state, qt.Contains, `"down":true`)
	_, err = p.Get(ctx, "/k")
	c.Assert(err, qt.ErrorMatches, ".*no leader.*")

	_, _ = ask(c, s, "/fault?down=false&rewind=2")
	e, err = p.Get(ctx, "/k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "1")

	code, _ = ask(c, s, "/fault?slow=2")
	c.Assert(code, qt.Equals, http.StatusBadRequest)
	code, _ = ask(c, s, "/fault?lost=2")
	c.Assert(code, qt.Equals, http.StatusBadRequest)
	_, calls := ask(c, s, "/calls")
	c.Assert(calls, qt.Equals, `{"put":2,"range":3}`)
}

func TestTransactionIsAllOrNothing(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s, p := start(c)
	h := &http.Transport{Protocols: new(http.Protocols)}
	h.Protocols.SetUnencryptedHTTP2(true)
	c.Cleanup(h.CloseIdleConnections)
	kv := etcdpbconnect.NewKVClient(&http.Client{Transport: h}, "http://"+s.Addr(), connect.WithGRPC())
	put := func(key string, lease int64) *etcdpb.RequestOp {
		return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{
			RequestPut: &etcdpb.PutRequest{Key: []byte(key), Lease: lease},
		}}
	}
	_, err := kv.Txn(ctx, connect.NewRequest(&etcdpb.TxnRequest{
		Success: []*etcdpb.RequestOp{put("/a", 0), put("/b", 99)},
	}))
	c.Assert(connect.CodeOf(err), qt.Equals, connect.CodeNotFound)
	a, err := p.Get(ctx, "/a")
	c.Assert(err, qt.IsNil)
	c.Assert(a.Revision, qt.Equals, etcd.Revision(0))

	r, err := kv.Txn(ctx, connect.NewRequest(&etcdpb.TxnRequest{
		Success: []*etcdpb.RequestOp{put("/a", 0), put("/b", 0)},
	}))
	c.Assert(err, qt.IsNil)
	b, err := p.Get(ctx, "/b")
	c.Assert(err, qt.IsNil)
	c.Assert(int64(b.Revision), qt.Equals, r.Msg.Header.Revision)
	c.Assert(s.Revision(), qt.Equals, int64(2))
}
