package dbserver

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

var (
	copyPattern   = regexp.MustCompile(`(?is)^COPY\s+(\(.*\)|"?[\w.]+"?)\s*(\([^)]*\))?\s+(FROM|TO)\s+(STDIN|STDOUT)`)
	copyEscaper   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
	copyUnescaper = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
)

const copyNull = `\N`

// copy runs COPY FROM STDIN in the text or binary format, or COPY TO STDOUT in
// the text format.
func (c *session) copy(p *parsedStatement) error {
	m := copyPattern.FindStringSubmatch(p.text)
	options := strings.ToUpper(p.text)
	binary := strings.Contains(options, "BINARY")
	if m == nil || strings.Contains(options, "CSV") || binary && strings.EqualFold(m[3], "TO") {
		return newError("0A000", "only COPY FROM STDIN and COPY TO STDOUT are supported, the latter as text")
	}
	c.mu.Lock()
	failed := c.tx.failed
	c.mu.Unlock()
	if failed {
		return errFailedTransaction
	}
	if strings.EqualFold(m[3], "TO") {
		return c.copyOut(m[1], m[2])
	}
	return c.copyIn(m[1], m[2], binary)
}

func (c *session) copyOut(source, columns string) error {
	query := "SELECT " + strings.Trim(columns, "()") + " FROM " + source
	if columns == "" {
		query = "SELECT * FROM " + source
	}
	if strings.HasPrefix(source, "(") {
		query = strings.Trim(source, "()")
	}
	result, err := c.execute(&parsedStatement{text: query, kind: kindRead}, nil)
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(result.columns))})
	oids := result.oids()
	for _, row := range result.rows {
		fields := make([]string, len(row))
		for i, v := range row {
			fields[i] = copyNull
			if v != nil {
				fields[i] = copyEscaper.Replace(string(encodeValue(v, oids[i], 0)))
			}
		}
		c.backend.Send(&pgproto3.CopyData{Data: []byte(strings.Join(fields, "\t") + "\n")})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", len(result.rows))})
	return nil
}

func (c *session) copyIn(table, columns string, binary bool) error {
	if err := c.checkWriteAllowed(); err != nil {
		return err
	}
	tableColumns, err := c.readWithoutSlot(command{SQL: "SELECT " + copySelectList(columns) + " FROM " + table + " LIMIT 0"})
	if err != nil {
		return err
	}
	c.backend.Send(copyInResponse(len(tableColumns.columns), binary))
	if err := c.backend.Flush(); err != nil {
		return err
	}
	data, err := c.receiveCopy()
	if err != nil {
		return err
	}
	rows, err := decodeCopyRows(data, tableColumns, binary)
	if err != nil {
		return err
	}
	n, err := c.insertCopiedRows(table, columns, rows)
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", n)})
	return nil
}

func copyInResponse(columns int, binary bool) *pgproto3.CopyInResponse {
	m := &pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, columns)}
	if binary {
		m.OverallFormat = binaryFormat
		for i := range m.ColumnFormatCodes {
			m.ColumnFormatCodes[i] = binaryFormat
		}
	}
	return m
}

func copySelectList(columns string) string {
	if columns == "" {
		return "*"
	}
	return strings.Trim(columns, "()")
}

// receiveCopy returns the concatenated CopyData messages up to CopyDone.
func (c *session) receiveCopy() ([]byte, error) {
	var data bytes.Buffer
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return nil, errClientTerminated
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			data.Write(m.Data)
		case *pgproto3.CopyDone:
			return data.Bytes(), nil
		case *pgproto3.CopyFail:
			return nil, newError("57014", "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return nil, &serverError{code: "08P01", message: "unexpected message in COPY", fatal: true}
		}
	}
}

// insertCopiedRows inserts the received rows in the open transaction. If none
// is open, all rows are inserted in one transaction, which is then committed.
func (c *session) insertCopiedRows(table, columns string, rows [][]value) (int, error) {
	c.mu.Lock()
	implicit := !c.tx.open
	c.mu.Unlock()
	if implicit {
		c.begin(&parsedStatement{})
	}
	n, err := c.insertRows(table, columns, rows)
	if !implicit {
		return n, err
	}
	if err != nil {
		c.rollback()
		return 0, err
	}
	return n, c.commit(context.WithoutCancel(c.ctx), &parsedStatement{})
}

func (c *session) insertRows(table, columns string, rows [][]value) (int, error) {
	for i, args := range rows {
		placeholders := make([]string, len(args))
		for j := range placeholders {
			placeholders[j] = fmt.Sprintf("?%d", j+1)
		}
		text := fmt.Sprintf("INSERT INTO %s%s VALUES (%s)", table, columns, strings.Join(placeholders, ","))
		if _, err := c.execute(&parsedStatement{text: text, kind: kindWrite}, args); err != nil {
			return i, err
		}
	}
	return len(rows), nil
}

// decodeCopyRows decodes COPY data into one slice of arguments per row.
func decodeCopyRows(data []byte, tableColumns *result, binary bool) ([][]value, error) {
	if binary {
		return decodeBinaryCopyRows(data, tableColumns)
	}
	var rows [][]value
	for line := range strings.Lines(string(data)) {
		line = strings.TrimRight(line, "\r\n")
		if line == `\.` {
			break
		}
		args, err := decodeCopyLine(line, tableColumns)
		if err != nil {
			return nil, err
		}
		rows = append(rows, args)
	}
	return rows, nil
}

func decodeCopyLine(line string, tableColumns *result) ([]value, error) {
	fields := strings.Split(line, "\t")
	if len(fields) != len(tableColumns.columns) {
		return nil, newError("22P04", "%d columns in COPY line, want %d", len(fields), len(tableColumns.columns))
	}
	args := make([]value, len(fields))
	for i, f := range fields {
		if f == copyNull {
			continue
		}
		v, err := decodeArg([]byte(copyUnescaper.Replace(f)), oidOf(tableColumns.columns[i].declaredType, nil), 0)
		if err != nil {
			return nil, err
		}
		args[i] = v
	}
	return args, nil
}
