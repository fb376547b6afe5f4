package caller

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/xdg-go/scram"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

const (
	mechanism = "SCRAM-SHA-256"
	// mockIterations is the count that a verifier has by default, so that the
	// first answer for an account that doesn't exist looks like any other.
	mockIterations = 4096
	saltLen        = 16
	nonceLen       = 18
	// minProofs is how many verifiers each proof is held against: an account
	// with two keys takes no longer to refuse than one that doesn't exist.
	minProofs = 2
)

// mocks makes up verifiers for accounts that don't exist. The salt of a name
// stays the same, as that of an account would, on all hosts with one secret.
type mocks struct {
	secret [sha256.Size]byte
}

func newMocks(secret []byte) mocks {
	var m mocks
	if len(secret) == 0 {
		_, _ = rand.Read(m.secret[:])
		return m
	}
	h := hmac.New(sha256.New, secret)
	h.Write([]byte("verifiers of accounts that don't exist"))
	h.Sum(m.secret[:0])
	return m
}

func (m *mocks) credentials(service fleet.Service, user string) scram.StoredCredentials {
	h := hmac.New(sha256.New, m.secret[:])
	fmt.Fprintf(h, "%s\x00%s", service, user)
	s := h.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(s[:saltLen]), Iters: mockIterations},
		StoredKey:  m.secret[:],
		ServerKey:  m.secret[:],
	}
}

// credentials reads a verifier for the scram library.
func credentials(verifier string) (scram.StoredCredentials, error) {
	v, err := document.ParseVerifier(verifier)
	if err != nil {
		return scram.StoredCredentials{}, err
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey,
		ServerKey:  v.ServerKey,
	}, nil
}

// candidate is one verifier that a proof may hold for. Its verifier is empty
// when it was made up.
type candidate struct {
	verifier string
	talk     *scram.ServerConversation
}

// proof is the exchange in which a caller proves that it has a key.
//
// SCRAM names one salt before the caller shows anything, so the keys of an
// account that are to work side by side have the same salt and iterations. A
// key with another salt is named in the user name, as "account/key".
type proof struct {
	user       string
	account    fleet.Account
	candidates []candidate
}

// newProof never tells an account or a service that doesn't exist apart from a
// wrong key: it goes through the same steps with a verifier that is made up.
func (s *Server) newProof(service fleet.Service, user string) *proof {
	account, key, _ := strings.Cut(user, "/")
	p := &proof{user: user, account: fleet.Account(account)}
	var keys []document.Key
	if d, ok := s.cfg.Documents(service); ok {
		a, _ := d.Account(p.account)
		keys = a.Keys
	}
	nonce := newNonce()
	var factors scram.KeyFactors
	for _, k := range keys {
		c, err := credentials(k.Verifier)
		if err != nil || (key != "" && k.Name != key) {
			continue
		}
		if len(p.candidates) == 0 {
			factors = c.KeyFactors
		}
		if c.KeyFactors == factors {
			p.add(c, k.Verifier, nonce)
		}
	}
	mock := s.mocks.credentials(service, user)
	if len(p.candidates) > 0 {
		mock.KeyFactors = factors
	}
	for len(p.candidates) < minProofs {
		p.add(mock, "", nonce)
	}
	return p
}

func newNonce() string {
	var b [nonceLen]byte
	_, _ = rand.Read(b[:])
	return base64.StdEncoding.EncodeToString(b[:])
}

func (p *proof) add(c scram.StoredCredentials, verifier, nonce string) {
	// NewServer returns no error for SHA-256.
	srv, _ := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return c, nil })
	talk := srv.WithNonceGenerator(func() string { return nonce }).NewConversation()
	p.candidates = append(p.candidates, candidate{verifier: verifier, talk: talk})
}

// first takes the caller's first message and returns the answer. The user name
// within it is ignored, as PostgreSQL's clients leave it empty.
func (p *proof) first(m string) (string, error) {
	var answer string
	for _, c := range p.candidates {
		a, err := c.talk.Step(m)
		if err != nil {
			return "", err
		}
		answer = a
	}
	return answer, nil
}

// final takes the caller's proof and returns the answer and the verifier it
// holds for. All candidates are tried, whichever it is.
func (p *proof) final(m string) (answer, verifier string, ok bool) {
	for _, c := range p.candidates {
		a, err := c.talk.Step(m)
		if err == nil && c.talk.Valid() && c.verifier != "" && !ok {
			answer, verifier, ok = a, c.verifier, true
		}
	}
	return answer, verifier, ok
}
