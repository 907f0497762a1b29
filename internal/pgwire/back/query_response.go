package back

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// queryResponse collects the response to a query that the adapter itself sends.
type queryResponse struct {
	err  *ServerError
	rows [][][]byte
	tag  string
}

// segment returns a segment that sends data and collects the response in r.
func (r *queryResponse) segment(data []byte) segment { return segment{data: data, handle: r.handle} }

func (r *queryResponse) handle(kind byte, frame []byte) error {
	switch kind {
	case typeError:
		if r.err == nil {
			r.err = decodeError(frame)
		}
		if r.err.fatal() {
			return r.err
		}
	case typeDataRow:
		var row pgproto3.DataRow
		if err := row.Decode(frame[frameHeaderBytes:]); err != nil {
			return err
		}
		values := make([][]byte, len(row.Values))
		for i, v := range row.Values {
			if v != nil {
				values[i] = append([]byte{}, v...)
			}
		}
		r.rows = append(r.rows, values)
	case typeCommandComplete:
		r.tag = decodeTag(frame)
	case typeCopyIn:
		return errUnexpected
	}
	return nil
}

// serverError returns the error reported by the server, or nil. It never returns a
// non-nil interface that holds a nil pointer.
func (r *queryResponse) serverError() error {
	if r.err == nil {
		return nil
	}
	return r.err
}

func decodeError(frame []byte) *ServerError {
	var m pgproto3.ErrorResponse
	if err := m.Decode(frame[frameHeaderBytes:]); err != nil {
		return &ServerError{Severity: "FATAL", Code: "08P01", Message: err.Error()}
	}
	return newServerError(&m)
}

func decodeTag(frame []byte) string {
	return strings.TrimRight(string(frame[frameHeaderBytes:]), "\x00")
}

// query encodes a simple query.
func query(text string) []byte { return encode(&pgproto3.Query{String: text}) }

// statementMessages encodes a statement with arguments, up to and including Sync.
// Arguments of type []byte are sent in binary format; results are requested in
// binary format.
func statementMessages(text string, args ...any) []byte {
	parse := &pgproto3.Parse{Query: text}
	bind := &pgproto3.Bind{ResultFormatCodes: []int16{pgproto3.BinaryFormat}}
	for _, a := range args {
		switch a := a.(type) {
		case []byte:
			parse.ParameterOIDs = append(parse.ParameterOIDs, oidBytea)
			bind.ParameterFormatCodes = append(bind.ParameterFormatCodes, pgproto3.BinaryFormat)
			bind.Parameters = append(bind.Parameters, a)
		case string:
			parse.ParameterOIDs = append(parse.ParameterOIDs, oidText)
			bind.ParameterFormatCodes = append(bind.ParameterFormatCodes, pgproto3.TextFormat)
			bind.Parameters = append(bind.Parameters, []byte(a))
		}
	}
	return encode(parse, bind, &pgproto3.Execute{}, &pgproto3.Sync{})
}

const (
	oidBytea = 17
	oidText  = 25
)

// encode returns the encoded messages. Encoding only fails for messages larger than
// 1 GB.
func encode(messages ...pgproto3.FrontendMessage) []byte {
	var data []byte
	for _, m := range messages {
		data, _ = m.Encode(data)
	}
	return data
}
