package caller

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// The codes that stand in a start-up packet in place of a protocol version.
const (
	codeCancel  = 80877102
	codeSSL     = 80877103
	codeGSS     = 80877104
	protocol3   = 3
	protocol3_0 = protocol3 << 16
)

// maxStartup bounds a start-up packet, as PostgreSQL does.
const maxStartup = 10000

// startupPacket works on a message that has no type byte. It reports whether
// there may be more to work on.
func (x *session) startupPacket() bool {
	c := x.conn
	if c.InboundBuffered() < 8 {
		return false
	}
	h, err := c.Peek(8)
	if err != nil {
		return false
	}
	n := int(int32(binary.BigEndian.Uint32(h)))
	code := binary.BigEndian.Uint32(h[4:])
	if n < 8 || n > maxStartup {
		x.end(protocolError(fmt.Sprintf("start-up packet has the impossible length %d", n)))
		return false
	}
	if c.InboundBuffered() < n {
		return false
	}
	p, err := c.Peek(n)
	if err != nil {
		return false
	}
	body := bytes.Clone(p[4:])
	_, _ = c.Discard(n)
	switch {
	case code == codeSSL || code == codeGSS:
		x.write([]byte{'N'})
		return x.phase == phaseStartup
	case code == codeCancel:
		x.srv.cancelRequest(body[4:])
		_ = x.loop.Close(c)
		return false
	case code>>16 != protocol3:
		x.end(protocolError(fmt.Sprintf("protocol %d.%d is not spoken here; 3.0 is", code>>16, code&0xffff)))
		return false
	}
	return x.startup(body)
}

// decodeStartup reads the parameters of a start-up packet, which begins with
// the protocol version. Options in the form that PGOPTIONS has are taken apart.
func decodeStartup(body []byte) (map[string]string, error) {
	if len(body) < 5 {
		return nil, fmt.Errorf("start-up packet too short")
	}
	b := bytes.Clone(body)
	binary.BigEndian.PutUint32(b, protocol3_0)
	var m pgproto3.StartupMessage
	if err := m.Decode(b); err != nil {
		return nil, err
	}
	o := m.Parameters["options"]
	delete(m.Parameters, "options")
	w := strings.Fields(o)
	for i := 0; i < len(w); i++ {
		v := strings.TrimPrefix(w[i], "--")
		if w[i] == "-c" && i+1 < len(w) {
			i++
			v = w[i]
		}
		name, value, ok := strings.Cut(strings.TrimPrefix(v, "-c"), "=")
		if !ok {
			return nil, fmt.Errorf("option %q: want -c name=value", w[i])
		}
		m.Parameters[name] = value
	}
	return m.Parameters, nil
}

func (x *session) startup(body []byte) bool {
	params, err := decodeStartup(body)
	if err != nil {
		x.end(protocolError(err.Error()))
		return false
	}
	if x.srv.draining.Load() {
		x.end(errDraining)
		return false
	}
	if x.srv.full() {
		x.end(errTooMany)
		return false
	}
	user := params["user"]
	if user == "" {
		x.end(&failure.Refusal{Code: failure.CodeBadKey, Message: "no user name given", Step: "startup"})
		return false
	}
	database := params["database"]
	if database == "" {
		database = user
	}
	out := negotiate(body, params)
	if r := x.settings.start(x, params); r != nil {
		x.end(r)
		return false
	}
	x.service = fleet.Service(database)
	x.proof = x.srv.newProof(x.service, user)
	x.account = x.proof.account
	x.phase = phaseScramFirst
	x.write(appendMessage(out, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}))
	return true
}

// negotiate answers a caller that asks for a later minor version, or for
// options of the protocol, with what there is: version 3.0 without options.
func negotiate(body []byte, params map[string]string) []byte {
	var unknown []string
	for name := range params {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
			delete(params, name)
		}
	}
	if binary.BigEndian.Uint32(body) == protocol3_0 && len(unknown) == 0 {
		return nil
	}
	return appendMessage(nil, &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
}

// proofMessage works on one message of the proof of the key.
func (x *session) proofMessage() bool {
	typ, body, ok := x.peekFrame(maxStartup)
	if !ok {
		return false
	}
	body = bytes.Clone(body)
	x.dropFrame(body)
	if typ != msgPassword {
		x.end(protocolError(fmt.Sprintf("message %q before the key was proved", typ)))
		return false
	}
	if x.phase == phaseScramFirst {
		return x.proofFirst(body)
	}
	return x.proofFinal(body)
}

func (x *session) proofFirst(body []byte) bool {
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		x.end(protocolError("malformed SASL message"))
		return false
	}
	if m.AuthMechanism != mechanism {
		x.end(protocolError("the only authentication mechanism is " + mechanism))
		return false
	}
	answer, err := x.proof.first(string(m.Data))
	if err != nil {
		x.end(protocolError("malformed SCRAM message"))
		return false
	}
	x.phase = phaseScramFinal
	x.write(appendMessage(nil, &pgproto3.AuthenticationSASLContinue{Data: []byte(answer)}))
	return true
}

func (x *session) proofFinal(body []byte) bool {
	answer, verifier, ok := x.proof.final(string(body))
	if !ok {
		x.srv.metrics.badKeys.Inc()
		// The account's name is not logged as known or unknown: the log of a host
		// must not tell apart what the answer doesn't.
		x.end(&failure.Refusal{
			Code: failure.CodeBadKey, Step: "startup",
			Message: fmt.Sprintf("password authentication failed for user %q", x.proof.user),
		})
		return false
	}
	x.proof = nil
	x.verifier = strings.Clone(verifier)
	return x.open(answer)
}

// open makes the session ready once its key is proved.
func (x *session) open(answer string) bool {
	s := x.srv
	d, ok := s.cfg.Documents(x.service)
	if !ok || !keyInEffect(d, x.account, x.verifier) {
		x.end(errRevoked)
		return false
	}
	x.version = d.Version
	a, _ := d.Account(x.account)
	x.phase = phaseReady
	x.deadlines.startup = time.Time{}
	x.arm()
	if !s.enter(x, a.MaxSessions) {
		x.end(&failure.Refusal{
			Code: failure.CodeTooManySessions, Step: "startup", Peer: peerOf(x.account),
			Message: fmt.Sprintf("the account has its %d sessions on this host", a.MaxSessions),
		})
		return false
	}
	s.cfg.Logger.Debug("session opened", zap.String("account", string(x.account)),
		zap.String("service", string(x.service)), zap.Uint32("session", x.id))
	x.write(x.greeting(answer))
	// A document that came between the proof and enter has not seen this session
	// among those to end.
	if !x.checkKey() {
		return false
	}
	return x.phase == phaseReady
}

func (x *session) greeting(answer string) []byte {
	b := appendMessage(nil, &pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	b = appendMessage(b, &pgproto3.AuthenticationOk{})
	for _, p := range reported {
		b = appendParameter(b, p.name, x.settings.show(x, p.name, p.value))
	}
	var k [4]byte
	_, _ = rand.Read(k[:])
	x.key = binary.BigEndian.Uint32(k[:])
	b = appendMessage(b, &pgproto3.BackendKeyData{ProcessID: x.id, SecretKey: k[:]})
	return x.appendReady(b)
}

func keyInEffect(d *document.Document, a fleet.Account, verifier string) bool {
	acc, ok := d.Account(a)
	if !ok {
		return false
	}
	for _, k := range acc.Keys {
		if k.Verifier == verifier {
			return true
		}
	}
	return false
}
