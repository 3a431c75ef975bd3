package pgcaller_test

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"lovageslip/upstream"
)

func showParameter(t testing.TB, c *pgx.Conn, name string) string {
	t.Helper()
	var value string
	assert.NilError(t, c.QueryRow(t.Context(), "show "+name).Scan(&value))
	return value
}

func TestSettingsAreAnsweredLocally(t *testing.T) {
	owner := &fakeOwner{}
	c := startLocal(t, owner).connect(t, "&options=-c%20lovageslip.class%3Dreport%20--application-name%3Dshop%5C%20front")
	assert.Equal(t, showParameter(t, c, "lovageslip.class"), "report")
	assert.Equal(t, showParameter(t, c, "application_name"), "shop front")
	for _, text := range []string{
		"set lovageslip.class = 'current'", "SET SESSION lovageslip.class TO current;", "set application_name = 'it''s'",
		"set names 'utf8'", "SET TIME ZONE 'UTC'", "set extra_float_digits = 3", `set "client_encoding" to 'UTF8'`,
	} {
		_, err := c.Exec(t.Context(), text)
		assert.NilError(t, err, text)
	}
	assert.Equal(t, showParameter(t, c, "lovageslip.class"), "current")
	assert.Equal(t, showParameter(t, c, "application_name"), "it's")
	_, err := c.Exec(t.Context(), "reset application_name")
	assert.NilError(t, err)
	assert.Equal(t, showParameter(t, c, "application_name"), "")
	assert.Equal(t, len(owner.texts()), 0)
}

func TestRequestIDAppliesToTheNextStatementOnly(t *testing.T) {
	owner := &fakeOwner{}
	c := startLocal(t, owner).connect(t, "")
	_, err := c.Exec(t.Context(), "set lovageslip.request_id = 'order-1'")
	assert.NilError(t, err)
	for range 2 {
		_, err = c.Exec(t.Context(), "insert into t values (1)")
		assert.NilError(t, err)
	}
	assert.Equal(t, owner.executed[0].requestID, "order-1")
	assert.Equal(t, owner.executed[1].requestID, "")
}

func TestBadParametersAreRefused(t *testing.T) {
	h := startLocal(t, &fakeOwner{})
	c := h.connect(t, "")
	foreign := newTokens(t).Sign("stock", upstream.Position{Term: 1, Offset: 1})
	for text, code := range map[string]string{
		"set lovageslip.class = 'none'":                "22023",
		"set lovageslip.session = 'forged'":            "28L01",
		"set lovageslip.session = '" + foreign + "'":   "28L01",
		"set lovageslip.other = '1'":                   "42704",
		"set client_encoding = 'LATIN1'":               "22023",
		"set timezone = 'Asia/Manila'":                 "22023",
		"set work_mem = '1GB'":                         "0A000",
		"set role admin":                               "0A000",
		"set lovageslip.class = current; select 1":     "0A000",
		"set local lovageslip.class = current":         "0A000",
		"set session characteristics as transaction x": "0A000",
	} {
		_, err := c.Exec(t.Context(), text)
		assert.Equal(t, sqlStateOf(t, err), code, text)
	}
	_, err := pgx.Connect(t.Context(), "postgres://app@"+h.address+"/nowhere?sslmode=disable")
	assert.Equal(t, sqlStateOf(t, err), "3D000")
	_, err = pgx.Connect(t.Context(), "postgres://app@"+h.address+"/shop?sslmode=disable&lovageslip.session="+foreign)
	assert.Equal(t, sqlStateOf(t, err), "28L01")
}

func TestStartupParameterSetsSessionToken(t *testing.T) {
	h := startLocal(t, &fakeOwner{})
	token := newTokens(t).Sign("shop", upstream.Position{Term: 1, Offset: 9})
	c := h.connect(t, "&lovageslip.session="+token)
	assert.Equal(t, showParameter(t, c, "lovageslip.session"), token)
}

func TestFeaturesThatNeedAServerConnectionAreRefused(t *testing.T) {
	owner := &fakeOwner{}
	c := startLocal(t, owner).connect(t, "")
	for _, text := range []string{
		"listen x", "unlisten *", "notify x", "copy t from stdin", "create temp table t (a int)",
		"CREATE TEMPORARY VIEW v as select 1", "create local temp table t (a int)", "select pg_advisory_lock(1)",
		"select PG_TRY_ADVISORY_LOCK(1)", "declare c cursor with hold for select 1", "prepare p as select 1",
		"select 1 into temp t", "select 1; listen x", "discard temp", "select set_config('a.b', 'true', false)",
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
			_, err := c.Exec(t.Context(), text, mode)
			assert.Equal(t, sqlStateOf(t, err), "0A000", text)
		}
	}
	assert.Equal(t, len(owner.texts()), 0)
	for _, text := range []string{
		"select 'into temp pg_advisory_lock('", "select pg_advisory_xact_lock(1)", "declare c cursor for select 'with hold'",
		"insert into t values ('; listen x')", "create table temporary_things (a int)",
		"select set_config('a.b', 'false', true)", `select E'it\'s; listen x'`, "select $$; notify x$$",
	} {
		_, err := c.Exec(t.Context(), text, pgx.QueryExecModeSimpleProtocol)
		assert.NilError(t, err, text)
	}
}

func TestEncryptionIsDeclinedAndLaterProtocolsAreNegotiated(t *testing.T) {
	h := startLocal(t, &fakeOwner{})
	netConn := dial(t, h.address)
	frontend := pgproto3.NewFrontend(netConn, netConn)
	for _, request := range []pgproto3.FrontendMessage{&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}} {
		frontend.Send(request)
		assert.NilError(t, frontend.Flush())
		answer := make([]byte, 1)
		_, err := netConn.Read(answer)
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "N")
	}
	// libpq accepts no ParameterStatus before AuthenticationOk.
	frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32,
		Parameters: map[string]string{"user": "app", "database": "shop", "_pq_.new": "1", "application_name": "psql", "lovageslip.class": "report"}})
	assert.NilError(t, frontend.Flush())
	negotiated, err := frontend.Receive()
	assert.NilError(t, err)
	assert.DeepEqual(t, negotiated.(*pgproto3.NegotiateProtocolVersion).UnrecognizedOptions, []string{"_pq_.new"})
	receiveTypes(t, frontend, []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}})
	receiveUntil[*pgproto3.ReadyForQuery](t, frontend)
}

func TestFailedParseDoesNotReserveItsName(t *testing.T) {
	_, frontend := connectRaw(t, startLocal(t, &fakeOwner{}))
	for _, c := range []struct{ query, code string }{{"listen x", "0A000"}, {"select 1", ""}, {"select 2", "42P05"}} {
		frontend.Send(&pgproto3.Parse{Name: "s", Query: c.query})
		frontend.Send(&pgproto3.Sync{})
		assert.NilError(t, frontend.Flush())
		message, err := frontend.Receive()
		assert.NilError(t, err)
		if failure, failed := message.(*pgproto3.ErrorResponse); failed {
			assert.Equal(t, failure.Code, c.code)
		} else {
			assert.Equal(t, c.code, "")
		}
		receiveUntil[*pgproto3.ReadyForQuery](t, frontend)
	}
}
