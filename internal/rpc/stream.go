package rpc

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// MaxMessage bounds one message in either direction.
	MaxMessage = 32 << 20
	// writeTimeout closes a connection whose other side does not read, so that
	// a stalled subscriber does not hold memory and goroutines.
	writeTimeout = 10 * time.Second
	// maxHeaderLine bounds one header line of a message.
	maxHeaderLine = 256
)

// SizeError reports a message beyond MaxMessage.
type SizeError struct {
	Size uint64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, MaxMessage)
}

// boundedCodec has the format of jsonrpc2.VSCodeObjectCodec with a bound on the
// size of messages.
type boundedCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > MaxMessage {
		return &SizeError{Size: uint64(len(data))}
	}
	if _, err := fmt.Fprintf(stream, "Content-Length: %d\r\n\r\n", len(data)); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, object any) error {
	var size uint64
	for {
		line, err := readLine(stream)
		if err != nil {
			return err
		}
		if line == "" {
			break
		}
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			if size, err = strconv.ParseUint(strings.TrimSpace(value), 10, 64); err != nil {
				return fmt.Errorf("content length: %w", err)
			}
		}
	}
	if size > MaxMessage {
		return &SizeError{Size: size}
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(object)
}

func readLine(stream *bufio.Reader) (string, error) {
	var line strings.Builder
	for line.Len() < maxHeaderLine {
		b, err := stream.ReadByte()
		if err != nil {
			return "", err
		}
		if b == '\n' {
			return strings.TrimSuffix(line.String(), "\r"), nil
		}
		line.WriteByte(b)
	}
	return "", fmt.Errorf("header line exceeds %d bytes", maxHeaderLine)
}

// deadlineConn bounds how long one write may block.
type deadlineConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func stream(raw net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(deadlineConn{raw}, boundedCodec{})
}
