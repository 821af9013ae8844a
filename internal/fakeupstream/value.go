package fakeupstream

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// OID is a PostgreSQL type number.
type OID = uint32

// The types that are told apart.
const (
	oidUnknown OID = 0
	oidBool    OID = 16
	oidBytea   OID = 17
	oidInt8    OID = 20
	oidInt2    OID = 21
	oidInt4    OID = 23
	oidText    OID = 25
	oidFloat4  OID = 700
	oidFloat8  OID = 701
	oidVarchar OID = 1043
)

const (
	formatText   int16 = 0
	formatBinary int16 = 1
)

// bind turns a parameter of the wire into an argument of the engine.
func bind(data []byte, oid OID, format int16) (any, error) {
	switch {
	case data == nil:
		return nil, nil
	case format == formatBinary:
		return bindBinary(data, oid)
	}
	return bindText(string(data), oid)
}

func bindBinary(data []byte, oid OID) (any, error) {
	switch {
	case oid == oidInt2 && len(data) == 2:
		return int64(int16(binary.BigEndian.Uint16(data))), nil
	case oid == oidInt4 && len(data) == 4:
		return int64(int32(binary.BigEndian.Uint32(data))), nil
	case oid == oidInt8 && len(data) == 8:
		return int64(binary.BigEndian.Uint64(data)), nil
	case oid == oidFloat4 && len(data) == 4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(data))), nil
	case oid == oidFloat8 && len(data) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(data)), nil
	case oid == oidBool && len(data) == 1:
		return int64(data[0]), nil
	case oid == oidBytea:
		return append([]byte{}, data...), nil
	case oid == oidText || oid == oidVarchar || oid == oidUnknown:
		return string(data), nil
	}
	return nil, refuse(stateBadText, "no binary form of type %d with %d bytes", oid, len(data))
}

func bindText(text string, oid OID) (any, error) {
	switch oid {
	case oidText, oidVarchar:
		return text, nil
	case oidFloat4, oidFloat8:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, refuse(stateBadText, "%q is no number", text)
		}
		return f, nil
	case oidBool:
		return int64(map[bool]int{true: 1}[isTrue(text)]), nil
	}
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && strconv.FormatInt(n, 10) == text {
		return n, nil
	}
	if blob, err := hex.DecodeString(strings.TrimPrefix(text, `\x`)); err == nil && strings.HasPrefix(text, `\x`) {
		return blob, nil
	}
	return text, nil
}

func isTrue(text string) bool {
	switch strings.ToLower(text) {
	case "t", "true", "1", "on", "yes":
		return true
	}
	return false
}

// declared is the type of a column declared as such in the engine.
func declared(name string) OID {
	name = strings.ToUpper(name)
	for _, c := range []struct {
		part string
		oid  OID
	}{
		{"INT", oidInt8},
		{"SERIAL", oidInt8},
		{"BOOL", oidBool},
		{"BYTEA", oidBytea},
		{"BLOB", oidBytea},
		{"REAL", oidFloat8},
		{"FLOA", oidFloat8},
		{"DOUB", oidFloat8},
		{"NUMERIC", oidFloat8},
		{"DECIMAL", oidFloat8},
	} {
		if strings.Contains(name, c.part) {
			return c.oid
		}
	}
	if name == "" {
		return oidUnknown
	}
	return oidText
}

// typeOf is the type of a value of the engine; 0 for NULL.
func typeOf(v any) OID {
	switch v.(type) {
	case nil:
		return oidUnknown
	case int64:
		return oidInt8
	case float64:
		return oidFloat8
	case []byte:
		return oidBytea
	}
	return oidText
}

// encode writes a value of the engine as the wire's type and format.
func encode(v any, oid OID, format int16) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	text := textOf(v, oid)
	if format == formatText {
		return []byte(text), nil
	}
	switch oid {
	case oidInt8:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, refuse(stateBadText, "%q is no integer", text)
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case oidFloat8:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, refuse(stateBadText, "%q is no number", text)
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	case oidBool:
		return []byte{byte(map[bool]int{true: 1}[isTrue(text)])}, nil
	case oidBytea:
		if blob, found := v.([]byte); found {
			return blob, nil
		}
	}
	return []byte(text), nil
}

func textOf(v any, oid OID) string {
	switch x := v.(type) {
	case int64:
		if oid == oidBool {
			return map[bool]string{true: "t", false: "f"}[x != 0]
		}
		return strconv.FormatInt(x, 10)
	case float64:
		return strconv.FormatFloat(x, 'g', -1, 64)
	case []byte:
		if oid == oidBytea {
			return `\x` + hex.EncodeToString(x)
		}
		return string(x)
	case string:
		return x
	case time.Time:
		return x.UTC().Format("2006-01-02 15:04:05.999999999Z07:00")
	}
	return fmt.Sprint(v)
}
