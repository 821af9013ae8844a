package main

import (
	"bufio"
	"net"
	"strings"
	"time"
)

// client is a session of a caller.
type client struct {
	net net.Conn
	in  *bufio.Reader
}

// answer is what a caller gets for a request. code is the error code, empty after a success and "cut" if the
// connection ended or nothing arrived in time.
type answer struct {
	code, detail, digest string
	rows                 []string
	state                string
}

// dial opens a session. The code is empty on success.
func dial(address, database, key string, timeout time.Duration) (*client, string) {
	nc, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, "no connection"
	}
	c := &client{net: nc, in: bufio.NewReaderSize(nc, 64<<10)}
	_ = nc.SetDeadline(time.Now().Add(timeout))
	if _, err := nc.Write([]byte("STARTUP " + database + " " + key + "\r\n")); err != nil {
		c.close()
		return nil, "cut"
	}
	a := c.receive()
	if a.code != "" || a.state != "I" {
		c.close()
		return nil, a.code
	}
	return c, ""
}

func (c *client) close() { _ = c.net.Close() }

// query sends a request and returns its answer.
func (c *client) query(id, text string, timeout time.Duration) answer {
	_ = c.net.SetDeadline(time.Now().Add(timeout))
	if err := c.send(id, text); err != nil {
		return answer{code: "cut", detail: err.Error()}
	}
	return c.receive()
}

func (c *client) send(id, text string) error {
	_, err := c.net.Write([]byte("QUERY " + id + " " + text + "\r\n"))
	return err
}

// receive reads an answer up to its READY, or an ERROR at the start of a session.
func (c *client) receive() answer {
	var a answer
	for {
		line, err := readLine(c.in)
		if err != nil {
			if a.code == "" {
				return answer{code: "cut", detail: err.Error()}
			}
			return a
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.digest = rest
		case "ERROR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		default:
			return answer{code: "cut", detail: "unknown message " + word}
		}
	}
}

// readLine reads up to the next CR LF.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		chunk, err := in.ReadSlice('\n')
		line = append(line, chunk...)
		if err != nil && err != bufio.ErrBufferFull {
			return "", err
		}
		if n := len(line); n >= 2 && line[n-2] == '\r' && line[n-1] == '\n' {
			return string(line[:n-2]), nil
		}
	}
}
