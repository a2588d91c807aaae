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
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 32 << 20
	// writeTimeout bounds a write. A connection whose other side does not read
	// is closed, so that a stalled subscriber does not hold memory and
	// goroutines.
	writeTimeout = 10 * time.Second
	// maxHeaderLineBytes bounds one header line of a message.
	maxHeaderLineBytes = 256
)

// SizeError reports a message larger than MaxMessageBytes.
type SizeError struct {
	Size uint64
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, MaxMessageBytes)
}

// boundedCodec has the format of jsonrpc2.VSCodeObjectCodec and also bounds
// the size of messages.
type boundedCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
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
				return fmt.Errorf("parse Content-Length header: %w", err)
			}
		}
	}
	if size > MaxMessageBytes {
		return &SizeError{Size: size}
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(object)
}

// readLine returns the next header line without its line end.
func readLine(stream *bufio.Reader) (string, error) {
	var line strings.Builder
	for line.Len() < maxHeaderLineBytes {
		b, err := stream.ReadByte()
		if err != nil {
			return "", err
		}
		if b == '\n' {
			return strings.TrimSuffix(line.String(), "\r"), nil
		}
		line.WriteByte(b)
	}
	return "", fmt.Errorf("header line exceeds %d bytes", maxHeaderLineBytes)
}

// writeTimeoutConn applies writeTimeout to each write.
type writeTimeoutConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func newObjectStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(writeTimeoutConn{conn}, boundedCodec{})
}
