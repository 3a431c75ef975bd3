package control_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lovageslip/control"
	"lovageslip/controlstate"
	pb "lovageslip/gen/lovageslip/v1"
)

const upstreamsPerDatabase = 3

func runAtSizes(b *testing.B, run func(b *testing.B, hosts int)) {
	for _, hosts := range []int{18, 100, 400, 780} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { run(b, hosts) })
	}
}

// populate fills a state with the given number of hosts and as many databases
// of three upstreams each. Every host owns three upstreams.
func populate(state *controlstate.State, hosts int) {
	apply := func(cmd *pb.Command) {
		cmd.LeaderTerm = 1
		data, _ := proto.Marshal(cmd)
		state.Apply(0, data)
	}
	for i := range hosts {
		h := &pb.Host{Name: fmt.Sprintf("proxy-%03d", i), Address: address(i), DataCentre: dataCentre(i), Incarnation: 1 << 60}
		apply(&pb.Command{Command: &pb.Command_Host{Host: &pb.RegisterHost{Host: h}}})
	}
	for i := range hosts {
		database := fmt.Sprintf("database-%03d", i)
		for j := range upstreamsPerDatabase {
			name := fmt.Sprintf("%s-%d", database, j)
			apply(&pb.Command{Command: &pb.Command_Register{Register: &pb.RegisterUpstream{Announce: &pb.AnnounceRequest{
				Name: name, Database: database, Address: address(i), DataCentre: dataCentre(i + j), Slots: 5, MaxConnections: 70,
			}}}})
			apply(&pb.Command{Command: &pb.Command_Assign{Assign: &pb.AssignOwner{Upstream: name, Host: fmt.Sprintf("proxy-%03d", i)}}})
		}
		apply(&pb.Command{Command: &pb.Command_AdoptPrimary{AdoptPrimary: &pb.AdoptPrimary{Database: database, Term: 1, Upstream: database + "-0"}}})
	}
	for i := range 20 {
		apply(&pb.Command{Command: &pb.Command_ChangeClass{ChangeClass: &pb.ChangeClassRequest{
			ChangeId: fmt.Sprint(i), ExpectedVersion: uint64(i), Class: &pb.Class{Name: fmt.Sprintf("class_%d", i), WaitMicros: 50_000},
		}}})
	}
}

func address(i int) string { return fmt.Sprintf("10.20.%d.%d:5432", i/250, i%250) }

func dataCentre(i int) string { return fmt.Sprintf("data-centre-%d", i%8) }

func populatedHeartbeat(i int) *pb.HeartbeatRequest {
	r := &pb.HeartbeatRequest{
		Host: fmt.Sprintf("proxy-%03d", i), Address: address(i), DataCentre: dataCentre(i), Version: 10_000, Incarnation: 1 << 60,
	}
	for j := range upstreamsPerDatabase {
		r.Health = append(r.Health, &pb.UpstreamHealth{
			Upstream: fmt.Sprintf("database-%03d-%d", i, j), Reachable: true, Primary: j == 0, Term: 1,
			Position: 1 << 40, DataAgeMicros: 30_000, PrimaryContactAgeMicros: 30_000,
		})
	}
	return r
}

// BenchmarkWatchWhole reports the size of a whole state, and the time to build
// and encode it.
func BenchmarkWatchWhole(b *testing.B) {
	runAtSizes(b, func(b *testing.B, hosts int) {
		state := controlstate.New(controlstate.Options{})
		populate(state, hosts)
		size := 0
		for b.Loop() {
			data, err := proto.Marshal(state.Frame().WholeMessage())
			assert.NilError(b, err)
			size = len(data)
		}
		b.ReportMetric(float64(size), "bytes/state")
	})
}

// BenchmarkWatchChange reports the cost of one change of a class: building a
// new frame and its difference, and encoding it for one stream.
func BenchmarkWatchChange(b *testing.B) {
	runAtSizes(b, func(b *testing.B, hosts int) {
		state := controlstate.New(controlstate.Options{})
		populate(state, hosts)
		version, _ := state.Classes()
		old, size := state.Frame(), 0
		for b.Loop() {
			cmd, _ := proto.Marshal(&pb.Command{Command: &pb.Command_ChangeClass{ChangeClass: &pb.ChangeClassRequest{
				ChangeId: fmt.Sprint("change", version), ExpectedVersion: version,
				Class: &pb.Class{Name: "class_0", WaitMicros: int64(1000 + version%1000)},
			}}})
			state.Apply(0, cmd)
			version++
			next := state.Frame()
			data, err := proto.Marshal(next.ChangesSince(old))
			assert.NilError(b, err)
			old, size = next, len(data)
		}
		b.ReportMetric(float64(size), "bytes/change")
	})
}

// startPopulatedNode starts one control host with a populated state. Leases
// don't expire and no host is removed during the benchmark.
func startPopulatedNode(b *testing.B, hosts int) *node {
	timing := control.Timing{LeaseExpiry: time.Hour, HostRemovalDelay: time.Hour, Tick: time.Hour}
	c := startCluster(b, 1, timing, &fakeDatabases{})
	n := c.nodes[0]
	populate(n.state, hosts)
	n.server.Wake()
	awaitLeader(b, n)
	return n
}

// BenchmarkHeartbeat reports the leader's cost of a heartbeat, without the
// network, and the size of its messages.
func BenchmarkHeartbeat(b *testing.B) {
	runAtSizes(b, func(b *testing.B, hosts int) {
		n := startPopulatedNode(b, hosts)
		requests := make([]*connect.Request[pb.HeartbeatRequest], hosts)
		for i := range requests {
			requests[i] = connect.NewRequest(populatedHeartbeat(i))
		}
		i, responseSize := 0, 0
		b.ReportAllocs()
		for b.Loop() {
			r, err := n.server.Heartbeat(b.Context(), requests[i%hosts])
			assert.NilError(b, err)
			assert.Equal(b, len(r.Msg.GetRenewed()), upstreamsPerDatabase)
			responseSize = proto.Size(r.Msg)
			i++
		}
		b.ReportMetric(float64(proto.Size(requests[0].Msg)), "request-bytes")
		b.ReportMetric(float64(responseSize), "response-bytes")
	})
}

// BenchmarkHeartbeatOverHTTP reports the time and the bytes on the wire of a
// heartbeat over one HTTP/2 connection, both directions and all headers
// included, client and server in one process.
func BenchmarkHeartbeatOverHTTP(b *testing.B) {
	runAtSizes(b, func(b *testing.B, hosts int) {
		n := startPopulatedNode(b, hosts)
		firstRequest := connect.NewRequest(populatedHeartbeat(0))
		_, err := n.client.Heartbeat(b.Context(), firstRequest)
		assert.NilError(b, err)
		trafficBefore, cpuBefore, i := n.traffic.Load(), processorTime(b), 0
		for b.Loop() {
			_, err := n.client.Heartbeat(b.Context(), connect.NewRequest(populatedHeartbeat(i%hosts)))
			assert.NilError(b, err)
			i++
		}
		b.ReportMetric(float64(n.traffic.Load()-trafficBefore)/float64(i), "wire-bytes/op")
		b.ReportMetric(float64(processorTime(b)-cpuBefore)/float64(i), "cpu-ns/op")
	})
}

// processorTime returns the processor time used by the process.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLeaderTick reports the cost of one round of the leader loop in
// which nothing is due. There are 20 rounds in a second.
func BenchmarkLeaderTick(b *testing.B) {
	runAtSizes(b, func(b *testing.B, hosts int) {
		n := startPopulatedNode(b, hosts)
		for i := range hosts {
			_, err := n.server.Heartbeat(b.Context(), connect.NewRequest(populatedHeartbeat(i)))
			assert.NilError(b, err)
		}
		for b.Loop() {
			n.server.RunRound()
		}
	})
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
