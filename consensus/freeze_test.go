package consensus

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// childEnv is the environment variable that makes the test binary run as a member.
// It holds the member's childSettings as JSON.
const childEnv = "CONSENSUS_TEST_CHILD"

func TestMain(m *testing.M) {
	if settings := os.Getenv(childEnv); settings != "" {
		runChild(settings)
		return
	}
	os.Exit(m.Run())
}

type childSettings struct {
	Name, Address, DataDir string
	Members                []Member
}

// runChild runs a member and a small HTTP interface for the test. It ends when its
// standard input closes, so that it doesn't outlive the test process.
func runChild(encoded string) {
	var settings childSettings
	if err := json.Unmarshal([]byte(encoded), &settings); err != nil {
		panic(err)
	}
	state := &register{}
	node, err := Start(context.Background(), Options{
		Name: settings.Name, Address: settings.Address, DataDir: settings.DataDir, InitialMembers: settings.Members, StateMachine: state,
	})
	if err != nil {
		panic(err)
	}
	mux := http.NewServeMux()
	for _, route := range node.Handlers() {
		mux.Handle(route.Path, route.Handler)
	}
	mux.HandleFunc("/leading", func(w http.ResponseWriter, _ *http.Request) {
		_, ok := node.Leadership()
		fmt.Fprint(w, ok)
	})
	mux.HandleFunc("/read", func(w http.ResponseWriter, r *http.Request) {
		if _, err := node.ReadIndex(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		value, _ := state.read()
		fmt.Fprint(w, value)
	})
	mux.HandleFunc("/write", func(w http.ResponseWriter, r *http.Request) {
		value, _ := strconv.ParseUint(r.FormValue("value"), 10, 64)
		if _, err := node.Propose(r.Context(), encodeNumber(value)); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Addr: settings.Address, Handler: mux, Protocols: protocols}
	go server.ListenAndServe()
	io.Copy(io.Discard, os.Stdin)
}

type child struct {
	settings childSettings
	address  string
	command  *exec.Cmd
}

func startChildren(t *testing.T) []*child {
	var children []*child
	for _, h := range newStoppedCluster(t, "a", "b", "c").hosts {
		settings := childSettings{h.options.Name, h.address, h.options.DataDir, h.options.InitialMembers}
		c := &child{settings: settings, address: settings.Address}
		c.start(t)
		children = append(children, c)
	}
	return children
}

func (c *child) start(t *testing.T) {
	encoded, err := json.Marshal(c.settings)
	assert.NilError(t, err)
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), childEnv+"="+string(encoded))
	command.Stderr = os.Stderr
	_, err = command.StdinPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	c.command = command
	t.Cleanup(func() {
		command.Process.Kill()
		command.Wait()
	})
}

// Guards against the loss of changes that were acknowledged while they were only
// in memory, when all processes are killed at once.
func TestKilledProcessesLoseNothing(t *testing.T) {
	children := startChildren(t)
	for round := range 4 {
		value := strconv.Itoa(round + 1)
		awaitWrite(t, children[round%len(children)], value)
		for _, c := range children {
			assert.NilError(t, c.command.Process.Kill())
		}
		for _, c := range children {
			c.command.Wait()
			c.start(t)
		}
		waitFor(t, "a read", func() bool {
			body, ok := children[0].getOK("/read")
			assert.Check(t, !ok || body == value, "read %q, want %s", body, value)
			return ok
		})
	}
}

func (c *child) get(ctx context.Context, path string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func (c *child) getOK(path string) (string, bool) {
	ctx, cancel := shortContext()
	defer cancel()
	status, body, err := c.get(ctx, path)
	return body, err == nil && status == http.StatusOK
}

func awaitLeadingChild(t *testing.T, children []*child) int {
	t.Helper()
	found := -1
	waitFor(t, "a process to lead", func() bool {
		for i, c := range children {
			if body, ok := c.getOK("/leading"); ok && body == "true" {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// Guards against stale reads from a leader whose process was stopped (SIGSTOP) and
// continues after another leader was elected. Requests that waited in its sockets
// must not be answered from its old state.
func TestFrozenLeaderServesNoStaleReads(t *testing.T) {
	children := startChildren(t)
	oldLeader := awaitLeadingChild(t, children)
	frozen := children[oldLeader]
	awaitWrite(t, frozen, "1")
	assert.NilError(t, frozen.command.Process.Signal(syscall.SIGSTOP))
	others := append(append([]*child(nil), children[:oldLeader]...), children[oldLeader+1:]...)
	newLeader := others[awaitLeadingChild(t, others)]
	awaitWrite(t, newLeader, "2")

	answer := readWhileFrozen(t, frozen)
	assert.NilError(t, frozen.command.Process.Signal(syscall.SIGCONT))
	body := <-answer
	assert.Check(t, body == "2" || body == "", "old value %q", body)
	waitFor(t, "the new value", func() bool {
		body, ok := frozen.getOK("/read")
		assert.Check(t, !ok || body == "2", "old value %q", body)
		return ok
	})
}

func awaitWrite(t *testing.T, c *child, value string) {
	t.Helper()
	waitFor(t, "a write to succeed", func() bool {
		_, ok := c.getOK("/write?value=" + value)
		return ok
	})
}

// readWhileFrozen returns once it has written a read request to the stopped process
// c. The channel delivers the body of the response, or "" if the read fails.
func readWhileFrozen(t *testing.T, c *child) <-chan string {
	sent := make(chan struct{})
	answer := make(chan string, 1)
	go func() {
		trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(sent) }}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		status, body, err := c.get(httptrace.WithClientTrace(ctx, trace), "/read")
		if err != nil || status != http.StatusOK {
			body = ""
		}
		answer <- body
	}()
	<-sent
	return answer
}
