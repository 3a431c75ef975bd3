// Package session signs and verifies session tokens. A token carries the log
// position that the reads of a session must include, so that a caller reads its own
// writes on any proxy. Proxies sign a token after each commit and verify those that
// callers send.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	// version is the version of the token format, the first byte of a token.
	version = 1
	// MinSecret is the minimum length of a secret, in bytes.
	MinSecret = 16
	macSize   = sha256.Size
	// headerSize is the size of version, key id, term and offset.
	headerSize = 1 + 4 + 8 + 8
	tokenSize  = headerSize + macSize
)

// KeyID identifies a signing key. It is part of each token.
type KeyID uint32

// Key is a secret for signing tokens. All proxies share it.
type Key struct {
	ID     KeyID
	Secret []byte
}

// Signer signs tokens with one key and accepts several, so that keys can be
// replaced while proxies run. It is immutable and safe for concurrent use.
type Signer struct {
	signing  Key
	accepted map[KeyID]Key
}

// NewSigner returns a signer that signs with the first key and accepts tokens of
// all keys.
// Errors: *fault.Invalid for no key, a repeated key id or a short secret.
func NewSigner(keys ...Key) (*Signer, error) {
	if len(keys) == 0 {
		return nil, &fault.Invalid{Field: "token keys", Value: "", Allowed: "at least one key"}
	}
	accepted := make(map[KeyID]Key, len(keys))
	for _, key := range keys {
		if len(key.Secret) < MinSecret {
			return nil, &fault.Invalid{Field: "token key secret", Value: "(hidden)", Allowed: "16 bytes or more"}
		}
		if _, repeated := accepted[key.ID]; repeated {
			return nil, &fault.Invalid{Field: "token key id", Value: "(repeated)", Allowed: "one key per id"}
		}
		accepted[key.ID] = key
	}
	return &Signer{signing: keys[0], accepted: accepted}, nil
}

// Sign returns a token for a position in the log of a database.
func (s *Signer) Sign(database string, p upstream.Position) string {
	token := make([]byte, headerSize, tokenSize)
	token[0] = version
	binary.BigEndian.PutUint32(token[1:], uint32(s.signing.ID))
	binary.BigEndian.PutUint64(token[5:], uint64(p.Term))
	binary.BigEndian.PutUint64(token[13:], uint64(p.Offset))
	token = append(token, mac(s.signing, token, database)...)
	return base64.RawURLEncoding.EncodeToString(token)
}

// Verify checks a token and returns its position. Errors: *fault.BadToken for a
// token that is damaged, forged or of another database.
func (s *Signer) Verify(database, text string) (upstream.Position, error) {
	token, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(token) != tokenSize || token[0] != version {
		return upstream.Position{}, &fault.BadToken{Detail: "not a session token"}
	}
	header, sum := token[:headerSize], token[headerSize:]
	key, known := s.accepted[KeyID(binary.BigEndian.Uint32(header[1:]))]
	if !known {
		return upstream.Position{}, &fault.BadToken{Detail: "unknown key"}
	}
	if !hmac.Equal(sum, mac(key, header, database)) {
		return upstream.Position{}, &fault.BadToken{Detail: "signature does not match this database"}
	}
	return upstream.Position{
		Term:   upstream.Term(binary.BigEndian.Uint64(header[5:])),
		Offset: upstream.Offset(binary.BigEndian.Uint64(header[13:])),
	}, nil
}

// mac returns the HMAC-SHA256 of the header and the database. The header has a
// fixed size, so no other pair of header and database gives the same input.
func mac(key Key, header []byte, database string) []byte {
	h := hmac.New(sha256.New, key.Secret)
	h.Write(header)
	h.Write([]byte(database))
	return h.Sum(nil)
}

// Later returns the later of two positions of one database. Both must be positions
// of acknowledged commits; the history up to the later one then includes the
// earlier one.
func Later(a, b upstream.Position) upstream.Position {
	if a.Before(b) {
		return b
	}
	return a
}
