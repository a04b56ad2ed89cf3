package httpconn

import (
	"bufio"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// Guards against answers that readSimple takes for others than http.ReadResponse does, which would mix up the answers of a
// connection.
func FuzzSimpleAnswers(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nx-a:  b \r\n\r\nokHTTP/1.1",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n folded\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA b: c\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: c\nB: d\r\n\r\nok",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := bufio.NewReaderSize(strings.NewReader(text), bufferBytes)
		got := readSimple(r, http.MethodGet)
		if got == nil {
			if rest, _ := io.ReadAll(r); string(rest) != text {
				t.Fatalf("%q: left %q", text, rest)
			}
			return
		}
		wr := bufio.NewReaderSize(strings.NewReader(text), bufferBytes)
		want, err := http.ReadResponse(wr, &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("%q: accepted, but %v", text, err)
		}
		if got.StatusCode != want.StatusCode || got.ContentLength != want.ContentLength || want.Close || !reflect.DeepEqual(got.Header, want.Header) {
			t.Fatalf("%q: got %+v, want %+v", text, got, want)
		}
		body, err := io.ReadAll(got.Body)
		wantBody, wantErr := io.ReadAll(want.Body)
		rest, _ := io.ReadAll(r)
		wantRest, _ := io.ReadAll(wr)
		if string(body) != string(wantBody) || err != wantErr || string(rest) != string(wantRest) {
			t.Fatalf("%q: body %q, %v, then %q; want %q, %v, then %q", text, body, err, rest, wantBody, wantErr, wantRest)
		}
	})
}
