package standin

import (
	"strconv"
	"strings"
	"time"
)

// serverSettingPrefix is the prefix of settings that control the server itself.
// With SET, a test can control a server in another process:
// standin.lag, standin.service_time, standin.connect_delay (durations),
// standin.slots, standin.max_connections (numbers), standin.replication_broken
// and standin.frozen (Booleans). The session that sets standin.frozen is not
// frozen itself, so that it can reset it.
const serverSettingPrefix = "standin."

// applyServerSetting applies a setting that starts with serverSettingPrefix. It
// returns false for other settings.
func (s *session) applyServerSetting(name, value string) (bool, *pgError) {
	name = strings.ToLower(name)
	if !strings.HasPrefix(name, serverSettingPrefix) {
		return false, nil
	}
	switch strings.TrimPrefix(name, serverSettingPrefix) {
	case "lag":
		return true, applyDuration(name, value, s.server.SetLag)
	case "service_time":
		return true, applyDuration(name, value, s.server.SetServiceTime)
	case "connect_delay":
		return true, applyDuration(name, value, s.server.SetConnectDelay)
	case "slots":
		return true, applyNumber(name, value, s.server.SetSlots)
	case "max_connections":
		return true, applyNumber(name, value, s.server.SetMaxConnections)
	case "replication_broken":
		return true, applyBool(name, value, s.server.SetReplicationBroken)
	case "frozen":
		return true, applyBool(name, value, s.freezeOthers)
	}
	return true, unknownSetting(name)
}

func (s *session) freezeOthers(frozen bool) {
	s.server.setFrozen(frozen)
	s.frozen.Store(false)
}

func invalidSettingValue(name, value string) *pgError {
	return &pgError{Code: codeInvalidParameter, Message: "invalid value for parameter " + name + ": " + strconv.Quote(value)}
}

func applyDuration(name, value string, set func(time.Duration)) *pgError {
	d, err := time.ParseDuration(value)
	if err != nil {
		return invalidSettingValue(name, value)
	}
	set(d)
	return nil
}

func applyNumber(name, value string, set func(int)) *pgError {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return invalidSettingValue(name, value)
	}
	set(n)
	return nil
}

func applyBool(name, value string, set func(bool)) *pgError {
	on, failure := decodeTextBool(value)
	if failure != nil {
		return invalidSettingValue(name, value)
	}
	set(on == int64(1))
	return nil
}
