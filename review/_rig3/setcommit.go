package main

import (
	"fmt"
	"sync"
	"time"
)

// setCommitRounds is how many transactions are played.
const setCommitRounds = 20

// setCommit plays a client that sets a session value in a transaction, after its last
// statement, and commits. The commit must run where the values are those that were
// acknowledged to the client.
func setCommit(program string, trouble bool, rec *recorder) (bool, error) {
	zones[controlWord], zones["proxy"] = "a1", "a1"
	g, s, _, err := startLedger(program, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	var mu sync.Mutex
	seen := map[string]string{}
	g.mu.Lock()
	g.onRun = func(id, word string, values map[string]string) {
		mu.Lock()
		defer mu.Unlock()
		seen[id] = values["note"]
	}
	g.mu.Unlock()
	f := &filings{site: s, rec: rec, acked: map[string]bool{}}
	if err := f.awaitService(); err != nil {
		return false, err
	}
	broken := 0
	for round := range setCommitRounds {
		acknowledged, id, err := setAndCommit(s, rec, round, trouble)
		if err != nil {
			return false, err
		}
		mu.Lock()
		ran, ok := seen[id]
		mu.Unlock()
		rec.add("COMMIT %s ran: %v, with note=%q; acknowledged was note=%q", id, ok, ran, acknowledged)
		if ok && ran != acknowledged {
			broken++
		}
		time.Sleep(50 * time.Millisecond)
	}
	rec.add("%d of %d commits ran with other session values than were acknowledged", broken, setCommitRounds)
	fmt.Printf("%d of %d commits ran with other session values than were acknowledged\n", broken, setCommitRounds)
	return broken > 0, nil
}

// setAndCommit runs one transaction in a session of its own. It returns the value that was
// acknowledged last and the id of the commit, which was acknowledged too.
func setAndCommit(s *site, rec *recorder, round int, inTransaction bool) (value, id string, err error) {
	c, err := dialClient(s.proxies[round%len(s.proxies)].front(), "filing-ledger")
	if err != nil {
		return "", "", err
	}
	defer c.conn.Close()
	first, second := fmt.Sprintf("evening%d", round), fmt.Sprintf("night%d", round)
	texts := []string{"SET note " + first, "BEGIN", fmt.Sprintf("WRITE entry%d text", round)}
	value = first
	if inTransaction {
		texts = append(texts, "SET note "+second)
		value = second
	}
	texts = append(texts, "COMMIT")
	for _, text := range texts {
		var a answer
		id, a, err = c.queryWithID(text)
		rec.add("client: QUERY %s %s: %s %s %v", id, text, a.signature, a.code, err)
		if err != nil {
			return "", "", err
		}
		if a.code != "" {
			return "", "", fmt.Errorf("%s was answered with %s", text, a.code)
		}
	}
	return value, id, nil
}
