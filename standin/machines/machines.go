// Package machines is a small stand-in of the prepared machines: the platform's store,
// groups of database instances with asynchronous replication, and the address where changes
// of primary are ordered. It tells a watcher what its instances see.
package machines

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// rollbackTime is how long a replica is busy after it has dropped entries.
	rollbackTime = 100 * time.Millisecond
	// joinTime is how long after a promotion a replica receives from the new primary.
	joinTime = 300 * time.Millisecond
	// reachTime is how long a replaced primary goes on once it can reach its successor.
	reachTime = time.Second
	// replicateEvery is how finely the replication's delay is kept.
	replicateEvery = 5 * time.Millisecond
	// forgetAfter is how long the store lists an instance that says nothing.
	forgetAfter = 3 * time.Second
	slotsEach   = 2
	maxConns    = 32
	// defaultDataCentre is where instances lie unless others are named.
	defaultDataCentre = "obihiro"
	// slotWait is how long a statement waits for a slot before it is refused.
	slotWait = 100 * time.Millisecond
)

// Entry is one commit that has written.
type Entry struct {
	Service      string
	Term, Number int
	// IDs are those of its writes, in order.
	IDs []string
	// Conn is the connection that has committed it, At when.
	Conn Conn
	At   time.Time
	// Replaced is set if the instance had been replaced as the primary by then.
	Replaced bool
	// RolledBack is set once a promotion has dropped the entry.
	RolledBack bool

	items []string
	data  []string
}

// Conn is one connection to an instance.
type Conn struct {
	Number   uint64
	Remote   string
	Instance string
	Account  string
	// DataCentre is that of the host behind it, empty where DataCentreOf isn't set.
	DataCentre string
	InTx       bool
}

// Run is one read, write or commit that an instance has run.
type Run struct {
	Conn Conn
	ID   string
	// Text is that of the statement without the name under which it was prepared.
	Text string
	// Values are those that the connection has set.
	Values map[string]string
	Rows   []string
	Digest string
	// Log is what the instance had applied.
	Log []*Entry
}

// Plant is a fault that breaks a promise in place of the product.
type Plant string

// The faults that can be planted.
const (
	PlantNone Plant = ""
	// PlantLag has replicas answer reads after a point that they don't have.
	PlantLag Plant = "lag"
	// PlantTwice commits some writes twice.
	PlantTwice Plant = "twice"
	// PlantRefused commits some transactions and says that they were aborted.
	PlantRefused Plant = "refused"
	// PlantMixed answers some statements with rows of another.
	PlantMixed Plant = "mixed"
)

// plantEvery is how many statements there are to each that a planted fault concerns.
const plantEvery = 5

// Machines is the whole platform. The functions are called one at a time and may be nil;
// they and the planted faults have to be set before Start.
type Machines struct {
	Store *Store
	// Heard is called with each line that an instance reads.
	Heard func(c Conn, line string)
	// Ran is called with each statement that has run, Committed with each commit that has
	// written, Ordered with each order, Told with what happens to instances.
	Ran       func(r Run)
	Committed func(e *Entry)
	Ordered   func(o Order)
	Told      func(what string)
	Plant     Plant
	// KeepFormer has replaced primaries never learn of their successors.
	KeepFormer bool
	// SyncReplicas is how many replicas have to receive a commit before it is acknowledged.
	SyncReplicas int
	// Delay is how far replicas are behind, Work what a statement takes.
	Delay, Work time.Duration
	// DataCentres are those in which the instances of a group lie, in turn; by default there is one.
	DataCentres []string
	// Address returns the address to announce for an instance; by default it is its own.
	Address func(instance, own string) string
	// DataCentreOf returns the data centre of the host behind a connection.
	DataCentreOf func(c Conn) string

	mu sync.Mutex
	// received is signalled whenever replicas may have received something.
	received  *sync.Cond
	groups    map[string]*group
	instances map[string]*instance
	conns     uint64
	planted   int
	digests   int
	stop      chan struct{}
	stopped   sync.WaitGroup
}

type group struct {
	name      string
	term      int
	leader    *instance
	instances []*instance
}

// instance is one instance of a group.
type instance struct {
	name, address string
	dataCentre    string
	group         *group
	listener      net.Listener
	conns         map[net.Conn]bool
	slots         chan struct{}

	primary, replaced, dead, draining bool
	// held is the term with which it was told to receive nothing, zero if it wasn't.
	held int
	// split is set while it is cut off from the others of its group.
	split bool
	// lag is how much later than usual it applies what it has received.
	lag time.Duration
	// joins is when it next receives from a new primary.
	joins     time.Time
	term      int
	log       []*Entry
	applied   int
	busyUntil time.Time
	lose      int
	// faults are those of its statements, the oldest first.
	faults []*activeFault
	born   int64
	died   time.Time
	said   string
}

// Start brings groups of three instances up. The first of each is its primary.
func (m *Machines) Start(services ...string) error {
	m.groups, m.instances, m.stop = map[string]*group{}, map[string]*instance{}, make(chan struct{})
	m.received = sync.NewCond(&m.mu)
	if m.Store == nil {
		m.Store = NewStore()
	}
	for _, s := range services {
		g := &group{name: s, term: 1}
		m.groups[s] = g
		for n, letter := range []string{"a", "b", "c"} {
			i := &instance{name: "i-" + s + "-" + letter, group: g, term: 1, conns: map[net.Conn]bool{}}
			i.dataCentre = defaultDataCentre
			if len(m.DataCentres) > 0 {
				i.dataCentre = m.DataCentres[n%len(m.DataCentres)]
			}
			g.instances = append(g.instances, i)
			m.instances[i.name] = i
			if err := m.listen(i); err != nil {
				return err
			}
		}
		g.leader = g.instances[0]
		g.leader.primary = true
	}
	m.mu.Lock()
	m.announce()
	m.mu.Unlock()
	m.stopped.Go(m.replicates)
	return nil
}

// Close ends all instances.
func (m *Machines) Close() {
	close(m.stop)
	m.stopped.Wait()
	for n, i := range m.instances {
		m.Kill(n)
		_ = i.listener.Close()
	}
}

// listen opens the address of an instance, which is its own until the end: another program
// could take it while the instance is dead, and be taken for it.
func (m *Machines) listen(i *instance) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	i.listener, i.address, i.slots = l, l.Addr().String(), make(chan struct{}, slotsEach)
	i.born = time.Now().UnixMilli()
	go m.accept(i, l)
	return nil
}

func (m *Machines) tell(what string) {
	if m.Told != nil {
		m.Told(what)
	}
}

// announce writes the entries of the instances that live where they have changed.
func (m *Machines) announce() {
	for _, i := range m.instances {
		if i.dead {
			if i.said != "" && time.Since(i.died) > forgetAfter {
				i.said = ""
				m.Store.Delete("servers/" + i.name)
			}
			continue
		}
		state, address := "ready", i.address
		if i.draining {
			state = "draining"
		}
		if m.Address != nil {
			address = m.Address(i.name, i.address)
		}
		said := fmt.Sprintf(
			`{"Service":%q,"Address":%q,"Zone":%q,"Slots":%d,"State":%q,"DbRole":%q,"born":%d}`,
			i.group.name, address, i.dataCentre, slotsEach, state, i.role(), i.born)
		if said != i.said {
			i.said = said
			m.Store.Put("servers/"+i.name, said)
		}
	}
}

// replicates carries entries to the replicas.
func (m *Machines) replicates() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(replicateEvery):
		}
		m.mu.Lock()
		for _, g := range m.groups {
			for _, i := range g.instances {
				m.receive(i)
			}
		}
		m.received.Broadcast()
		m.announce()
		m.mu.Unlock()
	}
}

// receive has a replica take in what the leader has, half of the delay after the commit. It
// is applied after the whole of it.
func (m *Machines) receive(i *instance) {
	l := i.group.leader
	now := time.Now()
	for i.applied < len(i.log) && now.Sub(i.log[i.applied].At) >= m.Delay+i.lag {
		i.applied++
	}
	if i == l || i.dead || l.dead || i.split || l.split || i.replaced || i.held > 0 || now.Before(i.joins) {
		return
	}
	if l.common(i) < len(i.log) {
		i.follow(l)
		i.busyUntil = now.Add(rollbackTime)
	}
	i.term = l.term
	for len(i.log) < len(l.log) && now.Sub(l.log[len(i.log)].At) >= m.Delay/2 {
		i.log = append(i.log, l.log[len(i.log)])
	}
}

// awaitReplicas waits until as many replicas as are needed have received an entry of i, and reports false if that
// ends as the primary before. The lock is held, and released while it waits.
func (m *Machines) awaitReplicas(i *instance, e *Entry) bool {
	for m.receivedBy(i, e) < m.SyncReplicas {
		if i.dead || !i.primary {
			return false
		}
		m.received.Wait()
	}
	return true
}

func (m *Machines) receivedBy(primary *instance, e *Entry) int {
	n := 0
	for _, i := range primary.group.instances {
		if i != primary && len(i.log) >= e.Number && i.log[e.Number-1] == e {
			n++
		}
	}
	return n
}

// common returns how many first entries two instances share.
func (i *instance) common(o *instance) int {
	n := min(len(i.log), len(o.log))
	for n > 0 && i.log[n-1] != o.log[n-1] {
		n--
	}
	return n
}

// follow makes i a replica of l.
func (i *instance) follow(l *instance) {
	i.log = slices.Clone(i.log[:l.common(i)])
	i.applied = min(i.applied, len(i.log))
	i.primary, i.replaced, i.term = false, false, l.term
}

func (i *instance) role() string {
	if i.primary {
		return "primary"
	}
	return "replica"
}

// position is that of the last entry applied.
func (i *instance) position() string { return i.at(i.applied) }

func (i *instance) at(n int) string {
	if n == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", i.log[n-1].Term, n)
}

// has reports whether the instance has applied a position.
func (i *instance) has(position string) bool {
	var term, n int
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &n); err != nil {
		return false
	}
	return n == 0 || n <= i.applied && i.log[n-1].Term == term
}

func (i *instance) value(item string) string {
	for n := i.applied - 1; n >= 0; n-- {
		if k := slices.Index(i.log[n].items, item); k >= 0 {
			return i.log[n].data[k]
		}
	}
	return "none"
}

// Instances returns the names of a group's instances.
func (m *Machines) Instances(service string) []string {
	var out []string
	for _, i := range m.groups[service].instances {
		out = append(out, i.name)
	}
	return out
}

// Primary returns the instance that leads a group in the newest term.
func (m *Machines) Primary(service string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups[service].leader.name
}

// Term returns the newest term of a group.
func (m *Machines) Term(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups[service].term
}

// At returns where an instance listens.
func (m *Machines) At(instance string) string { return m.instances[instance].address }

// due reports whether a planted fault concerns this statement.
func (m *Machines) due(p Plant) bool {
	if m.Plant != p {
		return false
	}
	m.planted++
	return m.planted%plantEvery == 0
}

func words(s string) []string { return strings.Fields(s) }
