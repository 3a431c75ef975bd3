package pgupstream

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/pgscram"
)

// authentication answers the authentication requests of one start-up.
type authentication struct {
	conn     *Conn
	login    *pgscram.Login // nil until the server asks for SCRAM
	accepted bool
}

// handleRequest answers an authentication request. A server may accept the user
// without authentication, but one that has started SCRAM has to complete it before
// it accepts.
func (a *authentication) handleRequest(body []byte) error {
	if len(body) < 4 {
		return unavailable("start-up: malformed authentication request")
	}
	data := body[4:]
	switch binary.BigEndian.Uint32(body) {
	case pgproto3.AuthTypeOk:
		return a.accept()
	case pgproto3.AuthTypeSASL:
		return a.startSCRAM(body)
	case pgproto3.AuthTypeSASLContinue:
		return a.answerChallenge(data)
	case pgproto3.AuthTypeSASLFinal:
		return a.verifyServer(data)
	}
	return unavailable("start-up: the server asks for authentication other than " + pgscram.Mechanism)
}

func (a *authentication) accept() error {
	if a.login != nil && !a.login.ServerVerified() {
		return unavailable("start-up: the server has not proved that it knows the password")
	}
	a.accepted = true
	return nil
}

func (a *authentication) startSCRAM(body []byte) error {
	if a.conn.dialer.scram == nil {
		return unavailable("start-up: the server asks for a password and none is set")
	}
	if a.login != nil {
		return unavailable("start-up: the server asks for a password twice")
	}
	var offer pgproto3.AuthenticationSASL
	if err := offer.Decode(body); err != nil {
		return unavailable("start-up: malformed authentication request")
	}
	login, err := a.conn.dialer.scram.Start(offer.AuthMechanisms)
	if err != nil {
		return unavailable("start-up: " + err.Error())
	}
	first, err := login.ClientFirst()
	if err != nil {
		return unavailable("start-up: " + err.Error())
	}
	a.login = login
	return a.send(&pgproto3.SASLInitialResponse{AuthMechanism: pgscram.Mechanism, Data: first})
}

func (a *authentication) answerChallenge(challenge []byte) error {
	if a.login == nil {
		return unavailable("start-up: a challenge without a login")
	}
	proof, err := a.login.ClientFinal(challenge)
	if err != nil {
		return unavailable("start-up: " + err.Error())
	}
	return a.send(&pgproto3.SASLResponse{Data: proof})
}

func (a *authentication) verifyServer(outcome []byte) error {
	if a.login == nil {
		return unavailable("start-up: an outcome without a login")
	}
	if err := a.login.VerifyServer(outcome); err != nil {
		return unavailable("start-up: " + err.Error())
	}
	return nil
}

func (a *authentication) send(message pgproto3.FrontendMessage) error {
	raw, err := message.Encode(nil)
	if err == nil {
		_, err = a.conn.socket.Write(raw)
	}
	if err != nil {
		return unavailable("start-up: " + err.Error())
	}
	return nil
}
