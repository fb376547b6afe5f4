// Package host is the inner protocol, which the hosts of one fleet speak among
// themselves: exchanges forwarded from an entry host to a holder, pipelined on
// one stream, and the calls by which hosts compare, push and grant.
package host

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host/hostpb"
)

// The versions of the protocol. Each side goes by the lower of the two.
const (
	// Version is the version that this program speaks.
	Version uint32 = 2
	// minVersion is the lowest that it still understands.
	minVersion uint32 = 1
	// versionBatch is the first in which Done carries the tail of the answer and
	// frames go in batches.
	versionBatch uint32 = 2
)

// DefaultMessageLimit is the most bytes of one exchange, or of one part of an
// answer. It must be above the callers' own limit on a message.
const DefaultMessageLimit = 64 << 20

// messageSlack is what else may go in one message with an exchange of the limit.
const messageSlack = 1 << 20

// window is how many bytes of one answer a holder sends before it waits for
// credit. A caller that stops reading so holds up its own answer only, and
// costs its entry host no more than the window and one message.
const window = 256 << 10

// The bounds of a batch. Frames that wait at the same time go in one message,
// for the cost of a message is mostly that of its system calls; the bounds keep
// a burst from making the first of its frames wait for the last.
const (
	batchFrames = 64
	batchBytes  = 64 << 10
)

// Self is what a host says of itself in each opening message.
type Self struct {
	Host fleet.Host
	// Epoch is drawn at random when the process starts, and is the same as in
	// the ids of the exchanges that the host sends.
	Epoch uint64
	// Version is the constant Version when zero.
	Version uint32
}

func (s Self) version() uint32 {
	if s.Version == 0 {
		return Version
	}
	return s.Version
}

func (s Self) hello() *hostpb.Hello {
	return &hostpb.Hello{Version: s.version(), Host: string(s.Host), Epoch: s.Epoch}
}

// agree returns the version that both sides speak.
func (s Self) agree(h *hostpb.Hello) (uint32, error) {
	if h.GetVersion() < minVersion {
		return 0, fmt.Errorf("host %q speaks version %d of the protocol, want %d or higher",
			h.GetHost(), h.GetVersion(), minVersion)
	}
	return min(h.GetVersion(), s.version()), nil
}

func peerName(h fleet.Host) failure.Peer {
	return failure.Peer("host " + string(h))
}

// The pings by which a host finds out that a peer has gone without a word: a
// connection that is silent for pingAfter is probed, and closed pingTimeout
// later. At links of milliseconds, their sum is well below the deadline of a
// statement, and a pause of the collector is well below them.
const (
	pingAfter   = time.Second
	pingTimeout = time.Second
)

// newTransport returns HTTP/2 without encryption, as hosts speak it.
func newTransport() *http.Transport {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:       p,
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13},
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func limit(n int) int {
	if n == 0 {
		return DefaultMessageLimit
	}
	return n
}

// readLimit is what a receiver takes. A message above it ends the stream and all
// that is on it, so senders keep to limit and refuse the one exchange instead.
func readLimit(n int) int {
	return limit(n) + messageSlack
}

func refuseHello(err error) error {
	return connect.NewError(connect.CodeFailedPrecondition, err)
}
