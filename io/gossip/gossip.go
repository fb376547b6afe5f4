// Package gossip carries the datagrams that the hosts of a fleet send each other several
// times a second. Any of them may be lost: each tells everything anew.
package gossip

import (
	"errors"
	"math"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/io/gossip/gossippb"
)

// UnreachableInstance is an instance that a host can't reach.
type UnreachableInstance struct {
	Instance fleet.Instance
	Silent   time.Duration
}

// Report is what one host tells of itself and of what it sees.
type Report struct {
	Host fleet.Host
	// Address is where the host hears the others. It and DataCentre are empty in most
	// reports, as they don't change.
	Address    string
	DataCentre fleet.DataCentre
	// Epoch tells the processes of one host apart, Seq orders the reports of one.
	Epoch, Seq uint64
	Leaving    bool
	Capacity   fleet.Capacity
	// IsReader is set while the host reads the store, StoreUnreachable while it can't reach it.
	IsReader, StoreUnreachable bool
	Usages                     []ratelimit.Usage
	Unreachable                []UnreachableInstance
	// Reachable are the instances that the host can reach although another can't.
	Reachable []fleet.Instance
	// Catalog is the revision of the newest change of the catalog, Record that of the newest record
	// of a change of primary, that the host knows of.
	Catalog, Record uint64
	// CatalogAge is how long ago the host itself found Catalog to be the newest.
	CatalogAge time.Duration
	// Instances tells one list of instances from another, InstancesAge how long ago the host
	// itself read it.
	Instances    uint64
	InstancesAge time.Duration
}

// Config is what a Gossip works with.
type Config struct {
	// Address is where the host hears the others.
	Address string
	// Heard takes in other hosts' reports: one from its sender, or some that were passed on.
	// It is called on a goroutine of its own.
	Heard  func(rs []Report, passed bool)
	Logger *zap.Logger
}

// Gossip sends and hears reports.
type Gossip struct {
	cfg  Config
	conn *net.UDPConn
	done chan struct{}
}

const (
	// maxDatagram bounds a datagram; what is longer could not be sent.
	maxDatagram = 60 << 10
	// maxPassed bounds the reports of one datagram. One of a busy host takes some 200 bytes,
	// and long datagrams are lost as a whole.
	maxPassed = 50
)

// Start begins to hear.
func Start(cfg Config) (*Gossip, error) {
	at, err := net.ResolveUDPAddr("udp4", cfg.Address)
	if err != nil {
		return nil, failure.At(err, "read address", failure.Peer(cfg.Address))
	}
	c, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, failure.At(err, "listen for hosts", failure.Peer(cfg.Address))
	}
	g := &Gossip{cfg: cfg, conn: c, done: make(chan struct{})}
	go g.hear()
	return g, nil
}

// Close ends the hearing.
func (g *Gossip) Close() error {
	err := g.conn.Close()
	<-g.done
	return err
}

func (g *Gossip) hear() {
	defer close(g.done)
	b := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An unreachable host shows as an error of the socket now and then.
			continue
		}
		rs, passed, err := decode(b[:n])
		if err != nil {
			g.cfg.Logger.Warn("datagram dropped", zap.Error(err))
			continue
		}
		g.cfg.Heard(rs, passed)
	}
}

// Send tells others of r. It doesn't wait: a datagram that finds no room is lost.
func (g *Gossip) Send(r Report, to []*net.UDPAddr) {
	g.send(&gossippb.Datagram{Reports: []*gossippb.Report{toMessage(r)}}, to)
}

// Forward tells others what was heard.
func (g *Gossip) Forward(rs []Report, to []*net.UDPAddr) {
	for some := range slices.Chunk(rs, maxPassed) {
		m := &gossippb.Datagram{Passed: true}
		for _, r := range some {
			m.Reports = append(m.Reports, toMessage(r))
		}
		g.send(m, to)
	}
}

func (g *Gossip) send(m *gossippb.Datagram, to []*net.UDPAddr) {
	b, err := proto.Marshal(m)
	if err != nil {
		g.cfg.Logger.Error("report not sent", zap.Error(err))
		return
	}
	for _, a := range to {
		_, _ = g.conn.WriteToUDP(b, a)
	}
}

func toMessage(r Report) *gossippb.Report {
	m := &gossippb.Report{
		Host: string(r.Host), Epoch: r.Epoch, Seq: r.Seq, Leaving: r.Leaving,
		Reads: r.IsReader, Storeless: r.StoreUnreachable, Capacity: float64(r.Capacity),
		Catalog: r.Catalog, Record: r.Record, Address: r.Address,
		DataCentre:   string(r.DataCentre),
		CatalogAgeMs: ms(r.CatalogAge), Instances: r.Instances, InstancesAgeMs: ms(r.InstancesAge),
	}
	for _, u := range r.Usages {
		m.Usages = append(m.Usages, &gossippb.Usage{
			Account: string(u.Account), Admitted: u.Admitted, Demand: float32(u.Demand),
		})
	}
	for _, i := range r.Reachable {
		m.Reached = append(m.Reached, string(i))
	}
	for _, d := range r.Unreachable {
		m.Doubts = append(m.Doubts, &gossippb.Doubt{
			Instance: string(d.Instance), SilentMs: uint32(d.Silent.Milliseconds()),
		})
	}
	return m
}

func ms(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

var (
	errEmpty    = errors.New("a datagram without a report")
	errNameless = errors.New("a report without a host")
)

func decode(b []byte) (rs []Report, passed bool, err error) {
	var m gossippb.Datagram
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, false, err
	}
	if len(m.GetReports()) == 0 {
		return nil, false, errEmpty
	}
	for _, r := range m.GetReports() {
		if r.GetHost() == "" {
			return nil, false, errNameless
		}
		rs = append(rs, fromMessage(r))
	}
	return rs, m.GetPassed(), nil
}

func fromMessage(m *gossippb.Report) Report {
	r := Report{
		Host: fleet.Host(m.GetHost()), Epoch: m.GetEpoch(), Seq: m.GetSeq(), Leaving: m.GetLeaving(),
		IsReader: m.GetReads(), StoreUnreachable: m.GetStoreless(), Capacity: fleet.Capacity(m.GetCapacity()),
		Catalog: m.GetCatalog(), Record: m.GetRecord(), Address: m.GetAddress(),
		DataCentre: fleet.DataCentre(m.GetDataCentre()),
		CatalogAge: time.Duration(m.GetCatalogAgeMs()) * time.Millisecond,
		Instances:  m.GetInstances(), InstancesAge: time.Duration(m.GetInstancesAgeMs()) * time.Millisecond,
	}
	for _, u := range m.GetUsages() {
		r.Usages = append(r.Usages, ratelimit.Usage{
			Account: fleet.Account(u.GetAccount()), Admitted: u.GetAdmitted(), Demand: float64(u.GetDemand()),
		})
	}
	for _, i := range m.GetReached() {
		r.Reachable = append(r.Reachable, fleet.Instance(i))
	}
	for _, d := range m.GetDoubts() {
		r.Unreachable = append(r.Unreachable, UnreachableInstance{
			Instance: fleet.Instance(d.GetInstance()), Silent: time.Duration(d.GetSilentMs()) * time.Millisecond,
		})
	}
	return r
}
