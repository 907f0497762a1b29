package dbserver

import (
	"bytes"
	"encoding/binary"
)

// copySignature starts data in the binary COPY format. The flags and the length
// of the header extension follow, four bytes each.
const (
	copySignature   = "PGCOPY\n\xff\r\n\x00"
	copyHeaderBytes = len(copySignature) + 8
	// copyEndMarker marks the end of the data; it replaces the column count of
	// a row.
	copyEndMarker = 0xffff
)

var errBinaryCopy = newError("22P04", "malformed binary COPY data")

// decodeBinaryCopyRows decodes data in the binary COPY format.
func decodeBinaryCopyRows(data []byte, tableColumns *result) ([][]value, error) {
	if len(data) < copyHeaderBytes || !bytes.HasPrefix(data, []byte(copySignature)) {
		return nil, errBinaryCopy
	}
	data = data[copyHeaderBytes:]
	var rows [][]value
	for len(data) >= 2 {
		count := int(binary.BigEndian.Uint16(data))
		data = data[2:]
		if count == copyEndMarker {
			return rows, nil
		}
		if count != len(tableColumns.columns) {
			return nil, errBinaryCopy
		}
		row := make([]value, count)
		for i := range row {
			field, rest, ok := readCopyField(data)
			if !ok {
				return nil, errBinaryCopy
			}
			data = rest
			v, err := decodeArg(field, oidOf(tableColumns.columns[i].declaredType, nil), binaryFormat)
			if err != nil {
				return nil, err
			}
			row[i] = v
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// readCopyField splits the first field off data. The field is nil for NULL; ok
// is false if data is truncated.
func readCopyField(data []byte) (field, rest []byte, ok bool) {
	if len(data) < 4 {
		return nil, nil, false
	}
	length := int32(binary.BigEndian.Uint32(data))
	data = data[4:]
	if length < 0 {
		return nil, data, true
	}
	if int(length) > len(data) {
		return nil, nil, false
	}
	return data[:length:length], data[length:], true
}
