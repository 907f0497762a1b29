//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

// errEnded reports that a connection ended, or that no answer came.
var errEnded = errors.New("no answer")

// client is a session of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	rows                   []string
	signature, code, state string
}

func (a answer) String() string {
	if a.code != "" {
		return "ERROR " + a.code + " READY " + a.state
	}
	return fmt.Sprintf("%q COMPLETE %s READY %s", a.rows, a.signature, a.state)
}

func connect(address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	a, err := c.exchange("STARTUP "+database+" u1", 2*time.Second)
	if err == nil && a.code != "" {
		err = errors.New(a.code)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// newID returns the id of a statement.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// query sends a statement and waits for its answer.
func (c *client) query(id, text string, timeout time.Duration) (answer, error) {
	return c.exchange("QUERY "+id+" "+text, timeout)
}

func (c *client) exchange(message string, timeout time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := c.conn.Write([]byte(message + "\r\n")); err != nil {
		return answer{}, errEnded
	}
	if strings.HasPrefix(message, "STARTUP") {
		return c.receiveStartup()
	}
	return c.receive()
}

// receiveStartup reads the answer to the start-up message, in which no READY follows an error.
func (c *client) receiveStartup() (answer, error) {
	line, err := userplatform.ReadMessage(c.reader)
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case err != nil:
		return answer{}, errEnded
	case word == "ERROR":
		code, _, _ := strings.Cut(rest, " ")
		return answer{code: code}, nil
	}
	return answer{}, nil
}

// receive reads the answer to a statement.
func (c *client) receive() (answer, error) {
	var a answer
	for {
		line, err := userplatform.ReadMessage(c.reader)
		if err != nil {
			return a, errEnded
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
