package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// longMessageCrowd is the number of clients with one message of 1 MiB each. Together they
// exceed the memory limit of a process. It stays below the share of the descriptors that
// sessions may take (0.6).
const longMessageCrowd = 150

// TestLongMessagesAtOnce guards against memory that grows with the legal messages that are
// read at a time.
func TestLongMessagesAtOnce(t *testing.T) {
	d := deploy(t)
	c := newCrowd(t)
	query := longQuery()
	c.run(longMessageCrowd, func(int) error {
		s, err := c.session(d.processes[entry])
		if err == nil {
			_, err = s.ask(query)
		}
		return err
	})
	d.check()
}

// TestLongMessagesInPieces guards against memory that is held for messages while they arrive.
func TestLongMessagesInPieces(t *testing.T) {
	d := deploy(t)
	c := newCrowd(t)
	query := longQuery()
	c.run(longMessageCrowd, func(int) error {
		s, err := c.session(d.processes[entry])
		if err == nil {
			err = writeInPieces(s.conn, query, 20*time.Millisecond)
		}
		if err == nil {
			_, err = s.ask("")
		}
		return err
	})
	d.check()
}

// TestLongMessagesThatNeverEnd guards against memory that is held for incomplete messages
// for as long as their clients stay connected.
func TestLongMessagesThatNeverEnd(t *testing.T) {
	d := deploy(t)
	c := newCrowd(t)
	query := longQuery()
	c.run(longMessageCrowd, func(int) error {
		s, err := c.session(d.processes[entry])
		if err == nil {
			_, err = io.WriteString(s.conn, query)
		}
		return err
	})
	time.Sleep(settleTime)
	d.check()
}

// TestMessagesFarOverTheLimit guards against memory that grows with the length of a message
// beyond the limit of 1 MiB, during start-up and after it.
func TestMessagesFarOverTheLimit(t *testing.T) {
	d := deploy(t)
	c := newCrowd(t)
	piece := strings.Repeat("x", 1<<20)
	c.run(longMessageCrowd, func(i int) error {
		conn, err := c.dial(d.processes[entry].callers)
		if err != nil {
			return err
		}
		if i%2 == 0 {
			_, _ = io.WriteString(conn, "STARTUP "+database+" crowd\r\nQUERY long READ ")
		}
		for range 8 {
			if _, err := io.WriteString(conn, piece); err != nil {
				return err
			}
		}
		return nil
	})
	d.check()
}

// TestStatementsSentAhead guards against memory that grows with the statements that clients
// send without reading the answers. Each answer has 64 KiB.
func TestStatementsSentAhead(t *testing.T) {
	d := deploy(t)
	rows := []string{strings.Repeat("r", 64<<10)}
	d.group.SetExtraRows(func(int) []string { return rows })
	c := newCrowd(t)
	statements := strings.Repeat("QUERY ahead READ crate\r\n", 2000)
	c.run(longMessageCrowd, func(int) error {
		s, err := c.session(d.processes[entry])
		if err == nil {
			_ = s.conn.SetWriteDeadline(time.Now().Add(settleTime))
			_, err = io.WriteString(s.conn, statements)
		}
		return err
	})
	time.Sleep(settleTime)
	d.check()
}

// TestLargeAnswersThatNobodyReads guards against memory that is held for answers of 8 MiB
// for as long as their clients stay connected without reading.
func TestLargeAnswersThatNobodyReads(t *testing.T) {
	d := deploy(t)
	var rows []string
	for range 16 {
		rows = append(rows, strings.Repeat("r", 512<<10))
	}
	d.group.SetExtraRows(func(int) []string { return rows })
	c := newCrowd(t)
	c.run(longMessageCrowd/3, func(int) error {
		s, err := c.session(d.processes[entry])
		if err == nil {
			_, err = io.WriteString(s.conn, "QUERY unread READ crate\r\n")
		}
		return err
	})
	time.Sleep(settleTime)
	d.check()
}

// TestIdleSessionsWithLongTexts guards against memory that sessions hold without limit for
// their prepared statements and settings, and for names of them.
func TestIdleSessionsWithLongTexts(t *testing.T) {
	text := strings.Repeat("x", messageBytes/2)
	for name, statement := range map[string]string{
		"prepared statements": "PARSE p%d READ " + text,
		"settings":            "SET s%d " + text,
		"names":               "PARSE " + text + "%d READ x",
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			c := newCrowd(t)
			c.run(12, func(int) error {
				s, err := c.session(d.processes[entry])
				for n := 0; n < 48 && err == nil; n++ {
					_, err = s.ask("QUERY text " + fmt.Sprintf(statement, n))
				}
				return err
			})
			time.Sleep(settleTime)
			d.check()
		})
	}
}

// slowCrowd is a number of clients that exceeds the descriptors in the settings.
const slowCrowd = 2 * maxDescriptors

// TestStartUpsThatStopHalfWay guards against descriptors and memory that are held for
// clients that have not begun a session: silent ones, and ones that send a byte now and
// then.
func TestStartUpsThatStopHalfWay(t *testing.T) {
	d := deploy(t)
	c := newCrowd(t)
	c.run(slowCrowd, func(i int) error {
		conn, err := c.dial(d.processes[entry].callers)
		if err != nil || i%2 == 0 {
			return err
		}
		return drip(conn, "STARTUP "+database)
	})
	d.check()
}

// TestSessionsThatSendAByteNowAndThen guards against sessions that keep others out with
// statements that never end, and against more connections than descriptors.
func TestSessionsThatSendAByteNowAndThen(t *testing.T) {
	d := deploy(t)
	c := newCrowd(t)
	c.run(slowCrowd, func(int) error {
		s, err := c.session(d.processes[entry])
		if err == nil {
			err = drip(s.conn, "QUERY slow READ x")
		}
		return err
	})
	c.close()
	d.check()
}

// drip sends a byte now and then.
func drip(conn net.Conn, data string) error {
	for i := range len(data) {
		if _, err := io.WriteString(conn, data[i:i+1]); err != nil {
			return err
		}
		time.Sleep(settleTime / 16)
	}
	return nil
}
