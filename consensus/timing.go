package consensus

import "time"

const (
	heartbeatInterval  = 100 * time.Millisecond
	electionTimeoutMin = 400 * time.Millisecond
	electionTimeoutMax = 800 * time.Millisecond
	// leaseDuration is shorter than electionTimeoutMin by more than the
	// assumed clock drift of 10 %, so a lease ends before a vote can.
	leaseDuration = 300 * time.Millisecond
	// leaseCheckInterval is how often a leader checks that it still hears
	// from a quorum.
	leaseCheckInterval = 50 * time.Millisecond
	// A heartbeat answered later than the lease renews nothing.
	heartbeatTimeout = leaseDuration
	voteTimeout      = 300 * time.Millisecond
	appendTimeout    = 2 * time.Second
	snapshotTimeout  = 60 * time.Second
	retryDelay       = 50 * time.Millisecond
	// leaderWait bounds how long a call waits for an election.
	leaderWait = 2 * time.Second
	// leaderPollMax is the longest pause between two looks for a leader.
	leaderPollMax = 40 * time.Millisecond

	gaugeInterval = time.Second

	dialTimeout = time.Second
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
)

const (
	snapshotEvery = 1000
	// trailingEntries stay in memory after a snapshot, so that a follower
	// that is a little behind needs no snapshot.
	trailingEntries = 500
	snapshotChunk   = 256 << 10
	maxBatchEntries = 256
	maxBatchBytes   = 1 << 20
	maxCommandBytes = 1 << 20
	maxPending      = 4096
	// promoteLag is how many committed entries a new member may lack when
	// it becomes a voter.
	promoteLag = 64
)
