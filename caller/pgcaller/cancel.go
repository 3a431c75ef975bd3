package pgcaller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	cancelPacketSize = 12
	// The process id of a key holds a hash of the host name in hostBits and
	// the number of the connection in callerBits. It stays positive.
	hostBits   = 12
	callerBits = 19
	callerMask = 1<<callerBits - 1
	hostMask   = 1<<hostBits - 1
	// cancelTimeout bounds the forwarding of one cancel request.
	cancelTimeout = 5 * time.Second
)

// CancelForwarder passes a cancel request on to the hosts whose name has the
// hash HostOf(process).
type CancelForwarder func(ctx context.Context, host uint32, process, secret uint32) error

// HostHash returns the hash of a host name in the process ids of its keys.
func HostHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) & hostMask }

// HostOf returns the host hash of a process id.
func HostOf(process uint32) uint32 { return process >> callerBits & hostMask }

// key identifies a connection in a cancel request.
type key struct {
	process uint32
	secret  uint32
}

func (k key) secretBytes() []byte { return binary.BigEndian.AppendUint32(nil, k.secret) }

// keyring finds connections by key.
type keyring struct {
	host uint32

	mu    sync.Mutex
	last  uint32           // guarded by mu
	conns map[uint32]*conn // guarded by mu, by process id
}

func newKeyring(hostName string) *keyring {
	return &keyring{host: HostHash(hostName), conns: make(map[uint32]*conn)}
}

// add gives a connection its key.
func (k *keyring) add(c *conn) {
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		k.last++
		process := k.host<<callerBits | k.last&callerMask
		if _, used := k.conns[process]; used {
			continue
		}
		k.conns[process] = c
		c.key = key{process: process, secret: binary.BigEndian.Uint32(random[:])}
		return
	}
}

func (k *keyring) remove(used key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.conns[used.process]; c != nil && c.key == used {
		delete(k.conns, used.process)
	}
}

func (k *keyring) find(wanted key) *conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.conns[wanted.process]
	if c == nil || c.key != wanted {
		return nil
	}
	return c
}

// cancelRequest handles a CancelRequest packet. The caller gets no answer.
func (s *Server) cancelRequest(packet []byte) {
	if len(packet) != cancelPacketSize {
		return
	}
	process := binary.BigEndian.Uint32(packet[4:])
	secret := binary.BigEndian.Uint32(packet[8:])
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if s.Cancel(ctx, process, secret) || s.options.ForwardCancel == nil {
		return
	}
	host := HostOf(process)
	if err := s.options.ForwardCancel(ctx, host, process, secret); err != nil {
		s.log.Warn("cancel request not forwarded", "host_hash", host, "error", err)
	}
}

// Cancel cancels what the connection with this key is running. It returns
// false if this host has no such connection.
func (s *Server) Cancel(ctx context.Context, process, secret uint32) bool {
	c := s.keys.find(key{process: process, secret: secret})
	if c == nil {
		return false
	}
	s.metrics.Counter("cancels_total").Inc(1)
	if err := c.session.Cancel(ctx); err != nil {
		s.log.Debug("cancel not delivered", "error", err)
	}
	return true
}
