package standin

import (
	"database/sql/driver"
	"fmt"
	"path/filepath"
	"sync"

	"github.com/mattn/go-sqlite3"

	"lovageslip/fault"
)

// store is the server's SQLite database. When entries at the end of the log are
// discarded, a new file replaces the old one, with a generation one higher.
type store struct {
	dir string

	// mu guards the fields below.
	mu            sync.RWMutex
	generation    int
	schemaVersion uint64
}

func (s *store) path(generation int) string {
	return filepath.Join(s.dir, fmt.Sprintf("data-%d.sqlite", generation))
}

// create creates an empty database file of the current generation.
func (s *store) create() error {
	db, _, err := s.open()
	if err != nil {
		return err
	}
	return db.Close()
}

// versions returns the generation and the schema version.
func (s *store) versions() (int, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.generation, s.schemaVersion
}

func (s *store) incrementSchemaVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schemaVersion++
}

func (s *store) setGeneration(generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = generation
	s.schemaVersion++
}

// open opens a connection to the database file of the current generation, and
// returns the generation too.
func (s *store) open() (*sqlite3.SQLiteConn, int, error) {
	generation, _ := s.versions()
	db, err := s.openGeneration(generation)
	return db, generation, err
}

// sqliteSettings turn off SQLite's syncing to disk (_synchronous=OFF), because the
// stand-in isn't used to test durability.
const sqliteSettings = "?_journal_mode=WAL&_synchronous=OFF&_busy_timeout=5000&_stmt_cache_size=64"

func (s *store) openGeneration(generation int) (*sqlite3.SQLiteConn, error) {
	path := s.path(generation)
	conn, err := (&sqlite3.SQLiteDriver{}).Open("file:" + path + sqliteSettings)
	if err != nil {
		return nil, &fault.IO{Op: "open " + path, Err: err}
	}
	return conn.(*sqlite3.SQLiteConn), nil
}

// applyEntries runs logged transactions in one transaction of SQLite.
func applyEntries(db *sqlite3.SQLiteConn, entries []entry) error {
	if _, err := db.Exec("BEGIN IMMEDIATE", nil); err != nil {
		return err
	}
	for _, e := range entries {
		if err := applyStatements(db, e.Statements); err != nil {
			_, _ = db.Exec("ROLLBACK", nil)
			return err
		}
	}
	_, err := db.Exec("COMMIT", nil)
	return err
}

func applyStatements(db *sqlite3.SQLiteConn, statements []loggedStatement) error {
	for _, logged := range statements {
		args := make([]driver.Value, len(logged.Args))
		for i, v := range logged.Args {
			args[i] = v.value()
		}
		if _, err := db.Exec(logged.SQL, args); err != nil {
			return err
		}
	}
	return nil
}

// rebuild creates the next generation of the database from a prefix of the log.
// The caller holds the state's commit mutex.
func (s *store) rebuild(entries []entry) error {
	generation, _ := s.versions()
	db, err := s.openGeneration(generation + 1)
	if err != nil {
		return err
	}
	defer db.Close()
	if err := applyEntries(db, entries); err != nil {
		return &fault.IO{Op: "rebuild database", Err: err}
	}
	s.setGeneration(generation + 1)
	return nil
}

type valueKind byte

const (
	kindNull valueKind = iota
	kindInt
	kindFloat
	kindText
	kindBlob
)

// loggedValue is an argument of a statement in a form that encoding/gob can
// encode.
type loggedValue struct {
	Kind  valueKind
	Int   int64
	Float float64
	Text  string
	Blob  []byte
}

func toLoggedValue(v any) loggedValue {
	switch v := v.(type) {
	case int64:
		return loggedValue{Kind: kindInt, Int: v}
	case float64:
		return loggedValue{Kind: kindFloat, Float: v}
	case string:
		return loggedValue{Kind: kindText, Text: v}
	case []byte:
		return loggedValue{Kind: kindBlob, Blob: v}
	}
	return loggedValue{}
}

func (v loggedValue) value() driver.Value {
	switch v.Kind {
	case kindInt:
		return v.Int
	case kindFloat:
		return v.Float
	case kindText:
		return v.Text
	case kindBlob:
		return append([]byte{}, v.Blob...)
	}
	return nil
}
