package main

import (
	"bufio"
	"net"
	"strings"
	"time"
)

// lines reads the lines of the wire protocol.
type lines struct {
	conn net.Conn
	in   *bufio.Reader
}

func newLines(c net.Conn) *lines { return &lines{conn: c, in: bufio.NewReaderSize(c, 64<<10)} }

func (l *lines) next() (string, error) {
	s, err := l.in.ReadString('\n')
	return strings.TrimRight(s, "\r\n"), err
}

// within sets until when the next lines have to come.
func (l *lines) within(d time.Duration) { _ = l.conn.SetReadDeadline(time.Now().Add(d)) }
