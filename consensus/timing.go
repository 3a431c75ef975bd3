package consensus

import "time"

const (
	heartbeatInterval  = 100 * time.Millisecond
	electionTimeoutMin = 400 * time.Millisecond
	electionTimeoutMax = 800 * time.Millisecond
	// restartProbeInterval is how often a restarted host asks whether all others
	// have been restarted as well.
	restartProbeInterval = 40 * time.Millisecond
	// restartProbeTimeout bounds one such question. It covers two round trips
	// between regions; a host that starts meanwhile answers the next one.
	restartProbeTimeout = 100 * time.Millisecond
	// restartProbeLimit is how long it asks. Hosts that lose power together
	// start within about a second.
	restartProbeLimit = 3 * time.Second
	// leaseDuration is shorter than electionTimeoutMin by more than the assumed
	// clock drift of 10 %, so that a lease ends before the hosts that renewed
	// it may vote again.
	leaseDuration = 300 * time.Millisecond
	// leaseCheckInterval is how often a leader checks that a quorum still
	// answers it.
	leaseCheckInterval = 50 * time.Millisecond
	// The lease counts from the sending of a heartbeat, so a response that
	// takes longer than leaseDuration renews nothing.
	heartbeatTimeout = leaseDuration
	voteTimeout      = 300 * time.Millisecond
	appendTimeout    = 2 * time.Second
	snapshotTimeout  = 60 * time.Second
	retryDelay       = 50 * time.Millisecond
	// leaderWaitMax is how long a call that finds no leader is repeated.
	leaderWaitMax = 2 * time.Second
	// leaderPollMax is the longest pause between two attempts to reach a
	// leader.
	leaderPollMax = 40 * time.Millisecond

	// diskFullRetryInterval is how often a write is repeated on a full disk.
	diskFullRetryInterval = 100 * time.Millisecond

	gaugeInterval = time.Second

	dialTimeout   = time.Second
	pingAfterIdle = 300 * time.Millisecond
	pingTimeout   = 300 * time.Millisecond
)

const (
	// A snapshot is due after this many entries, or sooner if they take up this
	// many bytes. Hosts of the smallest sites have 128 MB of disk.
	snapshotIntervalEntries = 1000
	snapshotIntervalBytes   = 16 << 20
	// trailingEntries and trailingBytes bound the entries that stay in memory
	// although a snapshot covers them, so that a follower that lacks only these
	// needs no snapshot.
	trailingEntries       = 500
	trailingBytes         = 8 << 20
	snapshotChunkBytes    = 256 << 10
	maxBatchEntries       = 256
	maxBatchBytes         = 1 << 20
	maxCommandBytes       = 1 << 20
	maxUncommittedEntries = 4096
	// promoteMaxLag is how many committed entries a new member may lack when it
	// becomes a voter.
	promoteMaxLag = 64
)
