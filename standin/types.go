package standin

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"
)

// Type OIDs of PostgreSQL.
const (
	oidBool    = 16
	oidBytea   = 17
	oidInt8    = 20
	oidInt2    = 21
	oidInt4    = 23
	oidText    = 25
	oidFloat4  = 700
	oidFloat8  = 701
	oidUnknown = 705
	oidVarchar = 1043
	oidNumeric = 1700
)

const (
	formatText   = 0
	formatBinary = 1
)

// oidOfTypeName maps the name of an SQL type to a type OID, like SQLite's affinity
// rules. An unrecognised name is mapped to text.
func oidOfTypeName(name string) uint32 {
	name = strings.ToUpper(name)
	contains := func(part string) bool { return strings.Contains(name, part) }
	switch {
	case name == "INT4":
		return oidInt4
	case name == "INT2" || name == "SMALLINT":
		return oidInt2
	case contains("INT"):
		return oidInt8
	case contains("CHAR") || contains("CLOB") || contains("TEXT"):
		return oidText
	case contains("BLOB") || contains("BYTEA"):
		return oidBytea
	case contains("REAL") || contains("FLOA") || contains("DOUB") || contains("NUMERIC") || contains("DECIMAL"):
		return oidFloat8
	case contains("BOOL"):
		return oidBool
	}
	return oidText
}

// oidOfDeclared maps a column's declared type to a type OID. All integer columns
// are int8, because SQLite's integers have 64 bits.
func oidOfDeclared(name string) uint32 {
	oid := oidOfTypeName(name)
	if oid == oidInt4 || oid == oidInt2 {
		return oidInt8
	}
	return oid
}

func sqliteType(oid uint32) string {
	switch oid {
	case oidInt8, oidInt4, oidInt2, oidBool:
		return "INTEGER"
	case oidFloat8, oidFloat4:
		return "REAL"
	case oidBytea:
		return "BLOB"
	}
	return "TEXT"
}

// oidOfValue returns the type OID of a value from SQLite, or 0 for NULL.
func oidOfValue(v any) uint32 {
	switch v.(type) {
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	case []byte:
		return oidBytea
	case bool:
		return oidBool
	case nil:
		return 0
	}
	return oidText
}

func typeSize(oid uint32) int16 {
	switch oid {
	case oidBool:
		return 1
	case oidInt2:
		return 2
	case oidInt4, oidFloat4:
		return 4
	case oidInt8, oidFloat8:
		return 8
	}
	return -1
}

// appendValue appends one field of a DataRow: its length, then the value in the
// given type and format, which are those of the RowDescription.
func appendValue(out []byte, v any, oid uint32, format int16) []byte {
	if v == nil {
		return append(out, 0xff, 0xff, 0xff, 0xff)
	}
	start := len(out)
	out = append(out, 0, 0, 0, 0)
	if format == formatBinary {
		out = appendBinary(out, v, oid)
	} else {
		out = appendText(out, v, oid)
	}
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-4))
	return out
}

func appendText(out []byte, v any, oid uint32) []byte {
	switch v := v.(type) {
	case int64:
		if oid == oidBool {
			return appendTextBool(out, v != 0)
		}
		return strconv.AppendInt(out, v, 10)
	case float64:
		return strconv.AppendFloat(out, v, 'g', -1, 64)
	case []byte:
		if oid != oidBytea {
			return append(out, v...)
		}
		return hex.AppendEncode(append(out, '\\', 'x'), v)
	case string:
		return append(out, v...)
	case bool:
		return appendTextBool(out, v)
	case time.Time:
		return v.AppendFormat(out, "2006-01-02 15:04:05.999999")
	}
	return out
}

func appendTextBool(out []byte, v bool) []byte {
	if v {
		return append(out, 't')
	}
	return append(out, 'f')
}

func appendBinary(out []byte, v any, oid uint32) []byte {
	switch oid {
	case oidInt8:
		return binary.BigEndian.AppendUint64(out, uint64(toInt(v)))
	case oidInt4:
		return binary.BigEndian.AppendUint32(out, uint32(toInt(v)))
	case oidInt2:
		return binary.BigEndian.AppendUint16(out, uint16(toInt(v)))
	case oidFloat8:
		return binary.BigEndian.AppendUint64(out, math.Float64bits(toFloat(v)))
	case oidFloat4:
		return binary.BigEndian.AppendUint32(out, math.Float32bits(float32(toFloat(v))))
	case oidBool:
		if toInt(v) != 0 {
			return append(out, 1)
		}
		return append(out, 0)
	}
	if b, ok := v.([]byte); ok {
		return append(out, b...)
	}
	return appendText(out, v, oid)
}

func toInt(v any) int64 {
	switch v := v.(type) {
	case int64:
		return v
	case float64:
		return int64(v)
	case bool:
		if v {
			return 1
		}
	case string:
		n, _ := strconv.ParseInt(v, 10, 64)
		return n
	}
	return 0
}

func toFloat(v any) float64 {
	switch v := v.(type) {
	case int64:
		return float64(v)
	case float64:
		return v
	case string:
		f, _ := strconv.ParseFloat(v, 64)
		return f
	}
	return 0
}

// decodeParameter decodes a parameter of a Bind message into a value for SQLite.
func decodeParameter(raw []byte, oid uint32, format int16) (any, *pgError) {
	if raw == nil {
		return nil, nil
	}
	if format == formatBinary {
		return decodeBinary(raw, oid)
	}
	return decodeText(string(raw), oid)
}

func decodeBinary(raw []byte, oid uint32) (any, *pgError) {
	switch {
	case oid == oidInt8 && len(raw) == 8:
		return int64(binary.BigEndian.Uint64(raw)), nil
	case oid == oidInt4 && len(raw) == 4:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	case oid == oidInt2 && len(raw) == 2:
		return int64(int16(binary.BigEndian.Uint16(raw))), nil
	case oid == oidFloat8 && len(raw) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(raw)), nil
	case oid == oidFloat4 && len(raw) == 4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(raw))), nil
	case oid == oidBool && len(raw) == 1:
		return int64(raw[0]), nil
	case oid == oidBytea:
		return append([]byte{}, raw...), nil
	case oid == oidText || oid == oidVarchar || oid == oidUnknown || oid == 0:
		return string(raw), nil
	}
	return nil, &pgError{Code: "22P03", Message: "incorrect binary data format in bind parameter"}
}

func decodeText(raw string, oid uint32) (any, *pgError) {
	switch oid {
	case oidInt8, oidInt4, oidInt2:
		n, err := strconv.ParseInt(strings.TrimSpace(raw), 10, 64)
		if err != nil {
			return nil, invalidText("bigint", raw)
		}
		return n, nil
	case oidFloat8, oidFloat4, oidNumeric:
		f, err := strconv.ParseFloat(strings.TrimSpace(raw), 64)
		if err != nil {
			return nil, invalidText("double precision", raw)
		}
		return f, nil
	case oidBool:
		return decodeTextBool(raw)
	case oidBytea:
		if !strings.HasPrefix(raw, `\x`) {
			return []byte(raw), nil
		}
		b, err := hex.DecodeString(raw[2:])
		if err != nil {
			return nil, invalidText("bytea", raw)
		}
		return b, nil
	}
	return raw, nil
}

func decodeTextBool(raw string) (any, *pgError) {
	switch strings.ToLower(raw) {
	case "t", "true", "1", "on", "yes", "y":
		return int64(1), nil
	case "f", "false", "0", "off", "no", "n":
		return int64(0), nil
	}
	return nil, invalidText("boolean", raw)
}

func invalidText(kind, raw string) *pgError {
	return &pgError{Code: "22P02", Message: "invalid input syntax for type " + kind + ": " + strconv.Quote(raw)}
}
