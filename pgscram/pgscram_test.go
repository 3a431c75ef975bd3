package pgscram

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const password = "secret-of-a-user"

// challenge returns a server-first-message for login with an iteration count.
func challenge(t *testing.T, login *Login, iterations string) []byte {
	t.Helper()
	first, err := login.ClientFirst()
	assert.NilError(t, err)
	_, nonce, found := strings.Cut(string(first), "r=")
	assert.Assert(t, found)
	return []byte("r=" + nonce + "server,s=c2FsdA==,i=" + iterations)
}

// Guards against a server that makes the client compute for an unbounded time by
// a huge iteration count, and against one that asks for so few iterations that
// the password can be guessed from the proof.
func TestClientBoundsIterations(t *testing.T) {
	for iterations, want := range map[string]string{"4096": "", "2000000000": "too many", "9999999999999999999999": "too many", "1": "malformed"} {
		login, err := NewClient(password).Start([]string{"SCRAM-SHA-256-PLUS", Mechanism})
		assert.NilError(t, err)
		_, err = login.ClientFinal(challenge(t, login, iterations))
		if want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, want)
		assert.Assert(t, !strings.Contains(err.Error(), password))
	}
}

// Guards against salts that reveal which users exist: the salts of existing and
// unknown users stay the same from login to login and differ by name.
func TestSaltsDoNotRevealUsers(t *testing.T) {
	v, err := NewVerifier(map[string]string{"app": password})
	assert.NilError(t, err)
	for _, user := range []string{"app", "nobody"} {
		assert.Equal(t, v.credentials(user).Salt, v.credentials(user).Salt)
		assert.Equal(t, v.credentials(user).Iters, iterations)
		assert.Equal(t, len(v.credentials(user).StoredKey), keyBytes)
	}
	assert.Assert(t, v.credentials("app").Salt != v.credentials("nobody").Salt)
}

// Guards against refusing a password that SASLprep rejects: PostgreSQL uses it
// unchanged, and the library's error would contain it.
func TestPasswordRefusedBySASLprep(t *testing.T) {
	_, err := NewVerifier(map[string]string{"app": password + "\x07"})
	assert.NilError(t, err)
}
