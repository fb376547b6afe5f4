package document

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"skylarkdeal/core/fleet"
)

// VerifierFormat describes the value of an account's key in error messages.
const VerifierFormat = "SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>, made by `skylarkdeal key verifier`"

// The limits on keys and verifiers.
const (
	MinKeyLength  = 16
	maxKeyLength  = 256
	minIterations = 4096
	saltSize      = 16
	minSaltSize   = 8
	maxSaltSize   = 64
	// maxIterations limits the work that each caller has to do to authenticate.
	maxIterations = 1_000_000
	mechanism     = "SCRAM-SHA-256"
)

// ErrInvalidKey is returned for a key of the wrong length or with characters that are
// not allowed in a key.
var ErrInvalidKey = fmt.Errorf("a key has %d to %d printable ASCII characters", MinKeyLength, maxKeyLength)

// NewKey returns a new random key, which NewVerifier accepts.
func NewKey() string {
	return rand.Text()
}

// NewVerifier returns the verifier of key with a new random salt.
//
// Keys consist of printable ASCII characters only. Drivers implement SASLprep in
// different ways, and it leaves such keys unchanged.
func NewVerifier(key string) (string, error) {
	salt := make([]byte, saltSize)
	if _, err := rand.Read(salt); err != nil {
		return "", err
	}
	return NewVerifierWithSalt(key, salt)
}

// AccountSalt returns the salt that all keys of an account share.
//
// During a login, the server sends one salt before it knows which key the caller
// has. If the keys of an account had different salts, only one of them would work
// while it is being replaced by another. The salt is derived from the names of the
// service and account: it differs between accounts, and a second key can be made
// without the first.
func AccountSalt(s fleet.Service, a fleet.Account) []byte {
	sum := sha256.Sum256([]byte("skylarkdeal salt\x00" + string(s) + "/" + string(a)))
	return sum[:saltSize]
}

// NewVerifierWithSalt returns the verifier of key with the given salt, or ErrInvalidKey.
func NewVerifierWithSalt(key string, salt []byte) (string, error) {
	if len(key) < MinKeyLength || len(key) > maxKeyLength || strings.ContainsFunc(key, isInvalidKeyChar) {
		return "", ErrInvalidKey
	}
	salted, err := pbkdf2.Key(sha256.New, key, salt, minIterations, sha256.Size)
	if err != nil {
		return "", err
	}
	stored := sha256.Sum256(hmacSHA256(salted, "Client Key"))
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", mechanism, minIterations,
		encode(salt), encode(stored[:]), encode(hmacSHA256(salted, "Server Key"))), nil
}

func isInvalidKeyChar(r rune) bool {
	return r <= ' ' || r > '~'
}

func hmacSHA256(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// Verifier holds the parts of a verifier that a SCRAM server needs.
type Verifier struct {
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
}

// ParseVerifier parses a verifier. Its errors don't contain the verifier.
func ParseVerifier(s string) (Verifier, error) {
	parts := strings.Split(s, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return Verifier{}, errors.New("not a verifier")
	}
	count, salt, _ := strings.Cut(parts[1], ":")
	n, err := strconv.Atoi(count)
	if err != nil || n < minIterations || n > maxIterations {
		return Verifier{}, fmt.Errorf("iterations are not from %d to %d", minIterations, maxIterations)
	}
	stored, server, _ := strings.Cut(parts[2], ":")
	v := Verifier{Iterations: n}
	for _, p := range []struct {
		dst     *[]byte
		text    string
		minSize int
		maxSize int
	}{
		{&v.Salt, salt, minSaltSize, maxSaltSize},
		{&v.StoredKey, stored, sha256.Size, sha256.Size},
		{&v.ServerKey, server, sha256.Size, sha256.Size},
	} {
		b, err := base64.StdEncoding.DecodeString(p.text)
		if err != nil || len(b) < p.minSize || len(b) > p.maxSize {
			return Verifier{}, errors.New("a part is not base64 of the right length")
		}
		*p.dst = b
	}
	return v, nil
}

// CheckVerifier returns nil if s is a verifier, else an error that doesn't contain s.
func CheckVerifier(s string) error {
	_, err := ParseVerifier(s)
	return err
}
