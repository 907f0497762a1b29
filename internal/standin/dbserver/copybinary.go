package dbserver

import (
	"bytes"
	"encoding/binary"
)

// copySignature starts the binary COPY format. Flags and the length of an
// extension follow, four bytes each.
const (
	copySignature    = "PGCOPY\n\xff\r\n\x00"
	copyHeaderLength = len(copySignature) + 8
	// copyTrailer in the place of a column count ends the data.
	copyTrailer = 0xffff
)

var errBinaryCopy = newError("22P04", "malformed binary COPY data")

// copyBinaryRows decodes the binary COPY format.
func copyBinaryRows(data []byte, info *result) ([][]value, error) {
	if len(data) < copyHeaderLength || !bytes.HasPrefix(data, []byte(copySignature)) {
		return nil, errBinaryCopy
	}
	data = data[copyHeaderLength:]
	var rows [][]value
	for len(data) >= 2 {
		count := int(binary.BigEndian.Uint16(data))
		data = data[2:]
		if count == copyTrailer {
			return rows, nil
		}
		if count != len(info.columns) {
			return nil, errBinaryCopy
		}
		row := make([]value, count)
		for i := range row {
			field, rest, ok := copyField(data)
			if !ok {
				return nil, errBinaryCopy
			}
			data = rest
			v, err := decodeArg(field, oidOf(info.columns[i].decl, nil), binaryFormat)
			if err != nil {
				return nil, err
			}
			row[i] = v
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// copyField cuts one field off data; it is nil for NULL.
func copyField(data []byte) (field, rest []byte, ok bool) {
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
