package ledger

import (
	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"skylarkdeal/core/failure"
)

// scramIterations is PostgreSQL's default.
const scramIterations = 4096

func (c *conn) authenticate(user string) error {
	cfg := c.group.cfg
	if cfg.User != "" && user != cfg.User {
		return &failure.Refusal{Code: failure.CodeBadKey, Message: "password authentication failed"}
	}
	var err error
	switch cfg.Auth {
	case AuthPassword:
		err = c.authPassword(cfg.Password)
	case AuthSCRAM:
		err = c.authSCRAM(cfg.Password)
	default:
	}
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func (c *conn) authPassword(want string) error {
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	m, err := c.answer(pgproto3.AuthTypeCleartextPassword)
	if err != nil {
		return err
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok || subtle.ConstantTimeCompare([]byte(p.Password), []byte(want)) != 1 {
		return &failure.Refusal{Code: failure.CodeBadKey, Message: "password authentication failed"}
	}
	return nil
}

func (c *conn) authSCRAM(password string) error {
	s, err := scramServer(password)
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{string(AuthSCRAMMechanism)}})
	m, err := c.answer(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok {
		return &failure.Refusal{Code: failure.CodeProtocol, Message: "want a SASL response"}
	}
	v := s.NewConversation()
	text, err := v.Step(string(first.Data))
	if err != nil {
		return badPassword()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(text)})
	if m, err = c.answer(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	final, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return &failure.Refusal{Code: failure.CodeProtocol, Message: "want a SASL response"}
	}
	if text, err = v.Step(string(final.Data)); err != nil || !v.Valid() {
		return badPassword()
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(text)})
	return nil
}

// AuthSCRAMMechanism is the SASL name of AuthSCRAM.
const AuthSCRAMMechanism = "SCRAM-SHA-256"

func badPassword() error {
	return &failure.Refusal{Code: failure.CodeBadKey, Message: "password authentication failed"}
}

// scramServer knows one password for every user name, since PostgreSQL clients
// leave the name in the SASL exchange empty.
func scramServer(password string) (*scram.Server, error) {
	client, err := scram.SHA256.NewClientUnprepped("", password, "")
	if err != nil {
		return nil, err
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "skylark-ledger", Iters: scramIterations})
	if err != nil {
		return nil, err
	}
	return scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
}

// answer sends what is waiting and reads the peer's answer to it.
func (c *conn) answer(authType uint32) (pgproto3.FrontendMessage, error) {
	if err := c.flush(); err != nil {
		return nil, err
	}
	if err := c.backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	m, err := c.backend.Receive()
	if err != nil {
		return nil, err
	}
	return m, c.gate()
}
