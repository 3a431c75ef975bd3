package session_test

import (
	"encoding/base64"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovageslip/fault"
	"lovageslip/session"
	"lovageslip/upstream"
)

func key(id session.KeyID, text string) session.Key {
	return session.Key{ID: id, Secret: []byte(text)}
}

func signer(t testing.TB, keys ...session.Key) *session.Signer {
	t.Helper()
	s, err := session.NewSigner(keys...)
	assert.NilError(t, err)
	return s
}

var (
	first    = key(1, "first-secret-0123")
	second   = key(2, "second-secret-012")
	position = upstream.Position{Term: 4, Offset: 99}
)

func assertBadToken(t testing.TB, err error) {
	t.Helper()
	var bad *fault.BadToken
	assert.Assert(t, errors.As(err, &bad), "%v", err)
}

func TestTokenKeepsItsPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := session.NewSigner(first)
		p := upstream.Position{
			Term:   upstream.Term(rapid.Uint64().Draw(t, "term")),
			Offset: upstream.Offset(rapid.Uint64().Draw(t, "offset")),
		}
		database := rapid.String().Draw(t, "database")
		got, err := s.Verify(database, s.Sign(database, p))
		if err != nil || got != p {
			t.Fatalf("got %v, %v", got, err)
		}
	})
}

func TestTokenOfAnotherDatabaseIsRefused(t *testing.T) {
	s := signer(t, first)
	_, err := s.Verify("stock", s.Sign("shop", position))
	assertBadToken(t, err)
}

func TestEveryDamagedByteIsRefused(t *testing.T) {
	s := signer(t, first)
	token, err := base64.RawURLEncoding.DecodeString(s.Sign("shop", position))
	assert.NilError(t, err)
	for i := range token {
		token[i] ^= 1
		_, err := s.Verify("shop", base64.RawURLEncoding.EncodeToString(token))
		assertBadToken(t, err)
		token[i] ^= 1
	}
	_, err = s.Verify("shop", base64.RawURLEncoding.EncodeToString(token[:len(token)-1]))
	assertBadToken(t, err)
}

func TestForgedTokenIsRefused(t *testing.T) {
	forger := signer(t, key(1, "another-secret-01"))
	_, err := signer(t, first).Verify("shop", forger.Sign("shop", position))
	assertBadToken(t, err)
	for _, text := range []string{"", "x", "!!!", "AAAA"} {
		_, err := signer(t, first).Verify("shop", text)
		assertBadToken(t, err)
	}
}

func TestRotatedKeyIsAcceptedUntilItIsRemoved(t *testing.T) {
	old := signer(t, first).Sign("shop", position)
	got, err := signer(t, second, first).Verify("shop", old)
	assert.NilError(t, err)
	assert.Equal(t, got, position)
	_, err = signer(t, second).Verify("shop", old)
	assertBadToken(t, err)
}

func TestWeakOrRepeatedKeysAreRefused(t *testing.T) {
	for _, keys := range [][]session.Key{{}, {key(1, "short")}, {first, first}} {
		_, err := session.NewSigner(keys...)
		var invalid *fault.Invalid
		assert.Assert(t, errors.As(err, &invalid))
	}
}
