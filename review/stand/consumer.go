package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// consumer is a consumer with one kept connection to a front machine.
type consumer struct {
	to   string
	conn net.Conn
	read *bufio.Reader
}

// outcome is how one consumer attempt ended; status is 0 if no whole answer came.
type outcome struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends one request and waits for its answer. target and body are sent as they are.
func (c *consumer) send(method, hostName, target, id string, deadline time.Duration, body string) outcome {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.to, time.Second)
		if err != nil {
			return outcome{err: err}
		}
		c.conn, c.read = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nLoomgap-Request-Id: %s\r\nLoomgap-Deadline-Ms: %d\r\n", method, target, hostName, id, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(c.read, &http.Request{Method: method})
	if err != nil {
		c.close()
		return outcome{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return outcome{err: err}
	}
	if resp.Close {
		c.close()
	}
	return outcome{status: resp.StatusCode, header: resp.Header, body: text}
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
