package relay

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/proxy"
)

// newTeamSite returns a site with teams, each of which has its name as its key.
func newTeamSite(t *testing.T, proxies, maxConnections, teams int) *fakeSite {
	s := newLongTimeoutSite(t, proxies, maxConnections)
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		digest := sha256.Sum256([]byte(name))
		s.parts.Config.Teams = append(s.parts.Config.Teams, &pb.SiteTeam{Name: name, KeyDigests: [][]byte{digest[:16]}})
	}
	s.applyView()
	return s
}

// runTeamCaller opens sessions of a team in turn, so that virtual connections pass
// from one team to another, until stop is closed.
func (s *fakeSite) runTeamCaller(p *fakeProxy, team string, stop <-chan struct{}, result *callerResult) {
	caller := team + ":" + p.name
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		session, refusal := p.Open("latest", team)
		if refusal != nil {
			s.t.Errorf("session of %s refused: %v", team, refusal)
			return
		}
		do := func(st *proxy.Statement) *proxy.Refusal { return session.Do(context.Background(), st).Refusal }
		id := fmt.Sprintf("%s.%d", caller, n)
		do(set(caller))
		result.count(s, id, runWrite(session, id, caller, n%2 == 1))
		result.checkRead(session, id+"g")
		do(&proxy.Statement{ID: id + "p", Kind: proxy.KindPrepare, Name: "s", Value: team + ":shape"})
		refusal = do(&proxy.Statement{ID: id + "e", Kind: proxy.KindExecute, Name: "s", Value: "1", Text: "EXECUTE s 1"})
		if refusal != nil && refusal.Code == proxy.RefusedNoStatement {
			result.wrong.Store(id+"e", "not prepared")
		}
		session.Close()
	}
}

func (s *fakeSite) startTeamCallers() (result *callerResult, stop func()) {
	stopped := make(chan struct{})
	result = &callerResult{}
	var callers sync.WaitGroup
	for _, p := range s.proxies {
		for _, team := range s.parts.Config.Teams {
			callers.Go(func() { s.runTeamCaller(p, team.Name, stopped, result) })
		}
	}
	waitFor(s.t, "writes", func() bool { return result.served.Load() > 200 })
	return result, func() {
		close(stopped)
		callers.Wait()
	}
}

func (s *fakeSite) setLostShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostShare = share
}

// Guards against statements, session values or prepared statements of one team that
// reach a connection of another one, while connections get lost, the relay changes as
// planned and the next relay is killed.
func TestTeamsDoNotMixAtARelay(t *testing.T) {
	s := newTeamSite(t, 8, 12, 10)
	result, stop := s.startTeamCallers()
	more := func(what string) {
		before := result.served.Load()
		waitFor(t, what, func() bool { return result.served.Load() > before+200 })
	}
	s.setLostShare(0.01)
	more("writes while connections get lost")
	first := s.relayFor("p1")
	first.server.Leave()
	first.server.Close()
	more("writes through the second relay")
	second := s.relayFor("p1")
	second.http.Listener.Close()
	second.http.CloseClientConnections()
	more("writes after the second relay was lost")
	s.setLostShare(0)
	more("writes afterwards")
	stop()
	result.check(t, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Check(t, len(s.teams) >= 10, "connections of %v", s.teams)
	t.Logf("%d writes, %d unknown, %d refused, %d connections, %d refused", result.served.Load(), result.unknown.Load(), result.refused.Load(), s.dials, s.refused)
}

// Guards against callers of small teams that wait until they give up, where many teams
// share few connections of a relay.
func TestNoTeamWaitsTooLongAtARelay(t *testing.T) {
	s := newTeamSite(t, 4, 9, 20)
	stalls := startStallMeter(t)
	var callers sync.WaitGroup
	for _, p := range s.proxies {
		for _, team := range s.parts.Config.Teams {
			callers.Go(func() {
				for n := range 10 {
					session, _ := p.Open("latest", team.Name)
					elapsed := stalls.stopwatch()
					id := fmt.Sprintf("%s.%s.%d", team.Name, p.name, n)
					reply := session.Do(context.Background(), write(id, ""))
					assert.Check(t, reply.Refusal == nil, "%s: %v", id, reply.Refusal)
					// The target of the route.
					took := elapsed()
					assert.Check(t, took < time.Second, "%s took %v", id, took)
					session.Close()
				}
			})
		}
	}
	callers.Wait()
}

// Guards against a relay that runs a statement of one team in the transaction of
// another.
func TestTeamCannotChangeInATransaction(t *testing.T) {
	s := newTeamSite(t, 4, 8, 2)
	relay := s.relayFor("p1")
	user := s.proxies[0]
	if user == relay {
		user = s.proxies[1]
	}
	stream := user.client.peers[relay.name].service.Connect(context.Background())
	assert.NilError(t, stream.Send(&pb.RelayRequest{
		Target: &pb.RelayTarget{Upstream: "p1", Address: "p1"}, TimeoutMs: 1000, WaitMs: 1000, Team: "team-0",
		Commands: []*pb.RelayCommand{{Kind: uint32(proxy.CommandBegin)}},
	}))
	response, err := stream.Receive()
	assert.NilError(t, err)
	assert.Equal(t, proxy.TransactionState(response.Answers[0].State), proxy.StateOpen)
	assert.NilError(t, stream.Send(&pb.RelayRequest{
		TimeoutMs: 1000, Team: "team-1", Commands: []*pb.RelayCommand{{Request: "x", Text: "WRITE x"}},
	}))
	_, err = stream.Receive()
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.Check(t, stream.CloseRequest())
	assert.Equal(t, s.runsOf("x"), 0)
}
