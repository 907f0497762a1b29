package dbserver

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// PostgreSQL type OIDs.
const (
	oidBool  = 16
	oidBytea = 17
	oidInt8  = 20
	oidInt2  = 21
	oidInt4  = 23
	oidText  = 25
	oidFloat = 701
)

const binaryFormat = 1

// value is an argument that keeps its type when it is encoded in the log. At most
// one field is set; none is set for NULL.
type value struct {
	Int   *int64   `json:"i,omitempty"`
	Float *float64 `json:"f,omitempty"`
	Text  *string  `json:"t,omitempty"`
	Bytes *[]byte  `json:"b,omitempty"`
}

func (v value) sqlArg() any {
	switch {
	case v.Int != nil:
		return *v.Int
	case v.Float != nil:
		return *v.Float
	case v.Text != nil:
		return *v.Text
	case v.Bytes != nil:
		return *v.Bytes
	default:
		return nil
	}
}

// String returns the value as text.
func (v value) String() string {
	if v.Bytes != nil {
		return string(*v.Bytes)
	}
	if n := v.sqlArg(); n != nil {
		return fmt.Sprint(n)
	}
	return ""
}

func intValue(n int64) value   { return value{Int: &n} }
func textValue(s string) value { return value{Text: &s} }

// decodeArg decodes one argument of a Bind message.
func decodeArg(data []byte, oid uint32, format int16) (value, error) {
	switch {
	case data == nil:
		return value{}, nil
	case format == binaryFormat:
		return decodeBinary(data, oid)
	case oid == oidBytea:
		return decodeHex(string(data))
	case oid == oidBool:
		return intValue(boolByText[strings.ToLower(string(data))]), nil
	default:
		return decodeText(string(data)), nil
	}
}

// boolByText maps the text representations of true to the stored value 1. All
// other texts are false.
var boolByText = map[string]int64{"t": 1, "true": 1, "1": 1, "y": 1, "yes": 1, "on": 1}

// decodeText decodes canonical integers as numbers, because SQLite does not
// convert text in a comparison with an expression, which has no column type.
func decodeText(text string) value {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && strconv.FormatInt(n, 10) == text {
		return intValue(n)
	}
	return textValue(text)
}

func decodeHex(s string) (value, error) {
	digits, ok := strings.CutPrefix(s, `\x`)
	if !ok {
		b := []byte(s)
		return value{Bytes: &b}, nil
	}
	b, err := hex.DecodeString(digits)
	if err != nil {
		return value{}, newError("22P02", "invalid bytea")
	}
	return value{Bytes: &b}, nil
}

func decodeBinary(data []byte, oid uint32) (value, error) {
	switch {
	case oid == oidInt8 && len(data) == 8:
		return intValue(int64(binary.BigEndian.Uint64(data))), nil
	case oid == oidInt4 && len(data) == 4:
		return intValue(int64(int32(binary.BigEndian.Uint32(data)))), nil
	case oid == oidInt2 && len(data) == 2:
		return intValue(int64(int16(binary.BigEndian.Uint16(data)))), nil
	case oid == oidBool && len(data) == 1:
		return intValue(int64(data[0])), nil
	case oid == oidFloat && len(data) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(data))
		return value{Float: &f}, nil
	case oid == oidText:
		return textValue(string(data)), nil
	default:
		b := append([]byte{}, data...)
		return value{Bytes: &b}, nil
	}
}

// oidOf maps a declared type or, if it is unknown, the Go type of a sample value to
// a type OID.
func oidOf(declaredType string, sample any) uint32 {
	declaredType = strings.ToUpper(declaredType)
	for _, byName := range oidByTypeName {
		if strings.Contains(declaredType, byName.substring) {
			return byName.oid
		}
	}
	switch sample.(type) {
	case int64:
		return oidInt8
	case float64:
		return oidFloat
	case []byte:
		return oidBytea
	default:
		return oidText
	}
}

var oidByTypeName = []struct {
	substring string
	oid       uint32
}{
	{"BOOL", oidBool},
	{"INT", oidInt8},
	{"SERIAL", oidInt8},
	{"CHAR", oidText},
	{"TEXT", oidText},
	{"REAL", oidFloat},
	{"FLOAT", oidFloat},
	{"DOUBLE", oidFloat},
	{"NUMERIC", oidFloat},
	{"BLOB", oidBytea},
	{"BYTEA", oidBytea},
	{"TIME", oidText},
	{"DATE", oidText},
}

// encodeValue encodes a result value as type oid in the given format.
func encodeValue(v any, oid uint32, format int16) []byte {
	switch v := v.(type) {
	case nil:
		return nil
	case int64:
		return encodeInt(v, oid, format)
	case float64:
		return encodeFloat(v, oid, format)
	case []byte:
		if oid != oidBytea || format == binaryFormat {
			return append([]byte{}, v...)
		}
		return []byte(`\x` + hex.EncodeToString(v))
	case time.Time:
		return []byte(v.Format(time.RFC3339Nano))
	case string:
		return []byte(v)
	default:
		return []byte(fmt.Sprint(v))
	}
}

func encodeInt(n int64, oid uint32, format int16) []byte {
	switch {
	case oid == oidFloat:
		return encodeFloat(float64(n), oid, format)
	case oid == oidBool && format == binaryFormat:
		return []byte{byte(n)}
	case oid == oidBool:
		return []byte(map[bool]string{true: "t", false: "f"}[n != 0])
	case oid == oidInt8 && format == binaryFormat:
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	default:
		return strconv.AppendInt(nil, n, 10)
	}
}

func encodeFloat(f float64, oid uint32, format int16) []byte {
	switch {
	case oid == oidInt8:
		return encodeInt(int64(f), oid, format)
	case oid == oidFloat && format == binaryFormat:
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f))
	default:
		return strconv.AppendFloat(nil, f, 'g', -1, 64)
	}
}
