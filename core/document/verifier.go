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

// VerifierFormat is what stands at a key of an account.
const VerifierFormat = "SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>, made by `skylarkdeal key verifier`"

// The bounds of keys and verifiers.
const (
	MinKeyLength  = 16
	maxKeyLength  = 256
	minIterations = 4096
	saltSize      = 16
	minSaltSize   = 8
	maxSaltSize   = 64
	// maxIterations bounds the work that a verifier asks of each caller.
	maxIterations = 1_000_000
	mechanism     = "SCRAM-SHA-256"
)

// ErrInvalidKey is a key that no verifier is made of.
var ErrInvalidKey = fmt.Errorf("a key has %d to %d printable ASCII characters", MinKeyLength, maxKeyLength)

// NewKey returns a new random key.
func NewKey() string {
	return rand.Text()
}

// NewVerifier returns the verifier of key with a new random salt.
//
// Keys are printable ASCII only: on these SASLprep, which drivers apply in
// different ways, changes nothing.
func NewVerifier(key string) (string, error) {
	salt := make([]byte, saltSize)
	if _, err := rand.Read(salt); err != nil {
		return "", err
	}
	return VerifierOf(key, salt)
}

// AccountSalt returns the salt that all keys of an account share.
//
// A login offers one salt before the caller has proved anything, so of two keys
// with salts of their own one would be refused while the other is being replaced
// by it. The salt is made from the names: it differs between accounts, and a
// second key needs nothing of the first.
func AccountSalt(s fleet.Service, a fleet.Account) []byte {
	sum := sha256.Sum256([]byte("skylarkdeal salt\x00" + string(s) + "/" + string(a)))
	return sum[:saltSize]
}

// VerifierOf returns the verifier of key with the given salt.
func VerifierOf(key string, salt []byte) (string, error) {
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

// Verifier is a verifier taken apart, as a server of SCRAM needs it.
type Verifier struct {
	Salt       []byte
	Iterations int
	StoredKey  []byte
	ServerKey  []byte
}

// ParseVerifier takes a verifier apart. Its errors don't hold the verifier.
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
		to   *[]byte
		text string
		low  int
		high int
	}{
		{&v.Salt, salt, minSaltSize, maxSaltSize},
		{&v.StoredKey, stored, sha256.Size, sha256.Size},
		{&v.ServerKey, server, sha256.Size, sha256.Size},
	} {
		b, err := base64.StdEncoding.DecodeString(p.text)
		if err != nil || len(b) < p.low || len(b) > p.high {
			return Verifier{}, errors.New("a part is not base64 of the right length")
		}
		*p.to = b
	}
	return v, nil
}

// CheckVerifier returns why s isn't a verifier, without showing s, or nil.
func CheckVerifier(s string) error {
	_, err := ParseVerifier(s)
	return err
}
