// Package gossip sends and receives the reports that the hosts of a fleet exchange by UDP several
// times a second. Any datagram may be lost: each report contains the sender's whole current state.
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
	"skylarkdeal/core/outlier"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/io/gossip/gossippb"
)

// UnreachableInstance is an instance that a host can't reach, and how long it has been silent.
type UnreachableInstance struct {
	Instance fleet.Instance
	Silent   time.Duration
}

// Report is a host's report of itself and of the instances that it can or can't reach.
type Report struct {
	Host fleet.Host
	// Address is where the host receives reports. Address and DataCentre are empty in most reports,
	// as they don't change.
	Address    string
	DataCentre fleet.DataCentre
	// Epoch distinguishes the processes of one host, Seq orders the reports of one process.
	Epoch, Seq uint64
	Leaving    bool
	Capacity   fleet.Capacity
	// IsReader is set while the host is a reader of the store, StoreUnreachable while it can't
	// reach the store.
	IsReader, StoreUnreachable bool
	// HeldSlots are the slots of accounts of which the host is the home.
	HeldSlots   ratelimit.SlotSet
	Unreachable []UnreachableInstance
	// Reachable are the instances that this host can reach although another host can't.
	Reachable []fleet.Instance
	// CatalogRevision is the revision of the catalog's newest change that the host knows,
	// RecordRevision that of the newest record of a promotion request.
	CatalogRevision, RecordRevision uint64
	// CatalogAge is the time since the host itself found Catalog to be the newest.
	CatalogAge time.Duration
	// Instances is the digest of the list of instances in use, InstancesAge the time since the host
	// itself read the list.
	Instances    uint64
	InstancesAge time.Duration
	// Members is the digest of which instances that list names, zero if the host doesn't tell.
	Members uint64
	// Ejected are the instances that get no work from the host because they fail. IgnoredEjections counts
	// those of a received report that are out of range or too many.
	Ejected          []outlier.Ejection
	IgnoredEjections int
	// Sent is when the host sent the report, by its own clock; zero if it doesn't tell.
	Sent time.Time
}

// Config configures a Gossip.
type Config struct {
	// Address is where the host receives reports.
	Address string
	// Received is called with the reports of each datagram: one report from its sender, or several
	// that a gossip relay has forwarded; forwarded tells which. It is called on the receiving goroutine.
	Received func(rs []Report, forwarded bool)
	// Tokens is called with a request for tokens or the answer to one, and the addresses of its sender and of the
	// hosts that it names. It is called on the receiving goroutine.
	Tokens func(from quota.Process, known Addresses, m ratelimit.Message)
	Logger *zap.Logger
}

// Gossip sends and receives reports on one UDP socket.
type Gossip struct {
	cfg  Config
	conn *net.UDPConn
	done chan struct{}
}

const (
	// maxDatagram bounds a datagram; a longer one can't be sent.
	maxDatagram = 60 << 10
	// maxForwardedReports bounds the reports of one forwarded datagram. A report of a busy host
	// takes about 200 bytes, and a long datagram is lost as a whole.
	maxForwardedReports = 50
)

// Start opens the socket and starts to receive reports.
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
	go g.receive()
	return g, nil
}

// Close closes the socket and waits until the last call of Received has returned.
func (g *Gossip) Close() error {
	err := g.conn.Close()
	<-g.done
	return err
}

func (g *Gossip) receive() {
	defer close(g.done)
	b := make([]byte, maxDatagram)
	for {
		n, address, err := g.conn.ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// After a send to an unreachable host, the read may return an ICMP error. The socket
			// is still usable.
			continue
		}
		var m gossippb.Datagram
		if err := proto.Unmarshal(b[:n], &m); err != nil {
			g.cfg.Logger.Warn("datagram dropped", zap.Error(err))
			continue
		}
		if t := m.GetTokens(); t != nil {
			g.receiveTokens(t, address)
			continue
		}
		rs, forwarded, err := reports(&m)
		if err != nil {
			g.cfg.Logger.Warn("datagram dropped", zap.Error(err))
			continue
		}
		for _, r := range rs {
			if r.IgnoredEjections > 0 {
				g.cfg.Logger.Warn("ejections ignored: out of range, or too many in a report",
					zap.String("host", string(r.Host)), zap.Int("count", r.IgnoredEjections))
			}
		}
		g.cfg.Received(rs, forwarded)
	}
}

// Send sends a report to other hosts. It waits for no response and ignores errors: a datagram that
// can't be sent is lost.
func (g *Gossip) Send(r Report, to []*net.UDPAddr) {
	g.send(&gossippb.Datagram{Reports: []*gossippb.Report{toMessage(r)}}, to)
}

// Forward passes reports received from other hosts on to further hosts.
func (g *Gossip) Forward(rs []Report, to []*net.UDPAddr) {
	for some := range slices.Chunk(rs, maxForwardedReports) {
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
		Catalog: r.CatalogRevision, Record: r.RecordRevision, Address: r.Address,
		DataCentre:   string(r.DataCentre),
		CatalogAgeMs: toMillis(r.CatalogAge), Instances: r.Instances, InstancesAgeMs: toMillis(r.InstancesAge),
		Members: r.Members, Ejected: toEjections(r.Ejected), HeldSlots: uint32(r.HeldSlots),
	}
	if !r.Sent.IsZero() {
		m.SentNs = r.Sent.UnixNano()
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

func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

var (
	errNoReports = errors.New("a datagram without a report")
	errNoHost    = errors.New("a report without a host")
)

func reports(m *gossippb.Datagram) (rs []Report, forwarded bool, err error) {
	if len(m.GetReports()) == 0 {
		return nil, false, errNoReports
	}
	for _, r := range m.GetReports() {
		if r.GetHost() == "" {
			return nil, false, errNoHost
		}
		rs = append(rs, fromMessage(r))
	}
	return rs, m.GetPassed(), nil
}

func fromMessage(m *gossippb.Report) Report {
	r := Report{
		Host: fleet.Host(m.GetHost()), Epoch: m.GetEpoch(), Seq: m.GetSeq(), Leaving: m.GetLeaving(),
		IsReader: m.GetReads(), StoreUnreachable: m.GetStoreless(), Capacity: fleet.Capacity(m.GetCapacity()),
		CatalogRevision: m.GetCatalog(), RecordRevision: m.GetRecord(), Address: m.GetAddress(),
		DataCentre: fleet.DataCentre(m.GetDataCentre()),
		CatalogAge: time.Duration(m.GetCatalogAgeMs()) * time.Millisecond,
		Instances:  m.GetInstances(), InstancesAge: time.Duration(m.GetInstancesAgeMs()) * time.Millisecond,
		Members: m.GetMembers(), HeldSlots: ratelimit.SlotSet(m.GetHeldSlots()),
	}
	r.Ejected, r.IgnoredEjections = fromEjections(m.GetEjected())
	if at := m.GetSentNs(); at != 0 {
		r.Sent = time.Unix(0, at)
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
