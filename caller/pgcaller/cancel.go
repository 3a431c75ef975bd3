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
	// The process ID of a cancel key has a hash of the host name in its upper
	// hostBits and the connection's number in its lower callerBits. 31 bits
	// keep it positive as a signed number.
	hostBits   = 12
	callerBits = 19
	callerMask = 1<<callerBits - 1
	hostMask   = 1<<hostBits - 1
	// cancelTimeout bounds the delivery of one cancel request, here or to
	// another host.
	cancelTimeout = 5 * time.Second
)

// CancelForwarder forwards a cancel request to the hosts whose name has the hash
// host, which is HostHashOf(process).
type CancelForwarder func(ctx context.Context, host uint32, process, secret uint32) error

// HostHash returns the hash of a host name that the process IDs of its cancel
// keys contain.
func HostHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) & hostMask }

// HostHashOf returns the host hash that a process ID contains.
func HostHashOf(process uint32) uint32 { return process >> callerBits & hostMask }

// cancelKey identifies a connection in a cancel request. It is sent to the
// caller as BackendKeyData.
type cancelKey struct {
	process uint32
	secret  uint32
}

func (k cancelKey) secretBytes() []byte { return binary.BigEndian.AppendUint32(nil, k.secret) }

// keyring finds this host's connections by their cancel keys.
type keyring struct {
	hostHash uint32

	mu         sync.Mutex
	lastNumber uint32           // guarded by mu
	conns      map[uint32]*conn // guarded by mu, by process id
}

func newKeyring(hostName string) *keyring {
	return &keyring{hostHash: HostHash(hostName), conns: make(map[uint32]*conn)}
}

// add gives a connection a new key and registers it.
func (k *keyring) add(c *conn) {
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		k.lastNumber++
		process := k.hostHash<<callerBits | k.lastNumber&callerMask
		if _, used := k.conns[process]; used {
			continue
		}
		k.conns[process] = c
		c.key = cancelKey{process: process, secret: binary.BigEndian.Uint32(random[:])}
		return
	}
}

func (k *keyring) remove(key cancelKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.conns[key.process]; c != nil && c.key == key {
		delete(k.conns, key.process)
	}
}

func (k *keyring) find(key cancelKey) *conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.conns[key.process]
	if c == nil || c.key != key {
		return nil
	}
	return c
}

// cancelRequest handles a CancelRequest packet, which has no answer.
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
	host := HostHashOf(process)
	if err := s.options.ForwardCancel(ctx, host, process, secret); err != nil {
		s.log.Warn("forwarding a cancel request to its host failed", "host_hash", host, "error", err)
	}
}

// Cancel cancels the batch that the connection with this key is running. It
// returns false if this host has no connection with the key.
func (s *Server) Cancel(ctx context.Context, process, secret uint32) bool {
	c := s.keys.find(cancelKey{process: process, secret: secret})
	if c == nil {
		return false
	}
	s.metrics.Counter("cancels_total").Inc(1)
	if err := c.session.Cancel(ctx); err != nil {
		s.log.Debug("cancelling a caller's batch failed", "error", err)
	}
	return true
}
