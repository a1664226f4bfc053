package httpclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a status outside the protocol that counts as an answer, or as an interim response.
func TestClassifyStatus(t *testing.T) {
	for status, want := range map[int]StatusClass{
		-1: StatusInvalid, 0: StatusInvalid, 1: StatusInvalid, 20: StatusInvalid, 99: StatusInvalid, 100: StatusInterim,
		101: StatusInvalid, 102: StatusInterim, 103: StatusInterim, 199: StatusInterim, 200: StatusFinal, 299: StatusFinal,
		404: StatusFinal, 503: StatusFinal, 599: StatusFinal, 600: StatusInvalid, 999: StatusInvalid, 2000: StatusInvalid,
	} {
		assert.Equal(t, ClassifyStatus(status), want, status)
	}
}

// serveText answers the first request of each connection with text and keeps the connection.
func serveText(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a write that counts as answered, or as not sent, because of a status outside the
// protocol.
func TestInvalidStatusIsAnUnknownOutcome(t *testing.T) {
	for line, want := range map[string]error{
		"000 None": ErrInvalidStatus, "001 Low": ErrInvalidStatus, "+20 Sign": ErrInvalidStatus, "600 High": ErrInvalidStatus,
		"999 Highest": ErrInvalidStatus, "101 Switching Protocols": ErrInvalidStatus, "200 OK": nil, "599 Last": nil,
	} {
		client := New()
		client.Timeout = 5 * time.Second
		ctx, sent := TraceSent(t.Context())
		address := serveText(t, "HTTP/1.1 "+line+"\r\nContent-Length: 2\r\n\r\n{}")
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, address, nil)
		assert.NilError(t, err)
		resp, err := client.Do(r)
		assert.ErrorIs(t, err, want, line)
		assert.Assert(t, sent(), line)
		if err == nil {
			assert.NilError(t, resp.Body.Close())
		}
		client.CloseIdleConnections()
	}
}
