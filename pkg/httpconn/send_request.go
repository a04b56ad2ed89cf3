package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/rockspoke/rockspoke/pkg/headerpack"
)

// send writes the request, except that a streamed body is sent by a goroutine that it starts.
func (x *exchange) send(req *Request) error {
	w := x.conn.bw
	writeRequestLine(w, req)
	x.writeHeader(w, req)
	if req.Stream != nil && req.ContinueWait > 0 {
		writeHeaderLine(w, "Expect", "100-continue")
	}
	switch {
	case req.Stream == nil:
		if len(req.Body) > 0 || hasBody(req.Method) {
			_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n") // Flush returns the error
		}
		_, _ = w.WriteString("\r\n") // as above
		_, _ = w.Write(req.Body)     // as above
		return w.Flush()
	case req.StreamLength >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(req.StreamLength, 10) + "\r\n\r\n") // as above
	default:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n") // as above
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if req.ContinueWait <= 0 {
		x.beginStream(req)
	}
	return nil
}

// writeHeader writes the headers, packed if the request asks for it.
func (x *exchange) writeHeader(w *bufio.Writer, req *Request) {
	if req.PackHeader {
		writeHeaderLine(w, headerpack.HeaderName, x.conn.packer.Pack(req.Header, req.Fields...))
		return
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) || headerpack.HasField(req.Fields, name) {
			continue // a peer may have packed a name that isn't valid in HTTP/1.1
		}
		for _, v := range values {
			writeHeaderLine(w, name, v)
		}
	}
	for _, f := range req.Fields {
		writeHeaderLine(w, f.Name, f.Value)
	}
}

// lineBreaks replaces line breaks in header values, which would end the line.
var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// writeHeaderLine writes one header.
func writeHeaderLine(w io.StringWriter, name, value string) {
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreaks.Replace(value)
	}
	for _, s := range [...]string{name, ": ", textproto.TrimString(value), "\r\n"} {
		_, _ = w.WriteString(s) // Flush returns the error
	}
}

// hasBody reports whether servers expect a Content-Length with the method, even for an empty body.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeRequestLine writes the request line and the Host header.
func writeRequestLine(w io.StringWriter, req *Request) {
	for _, s := range [...]string{req.Method, " ", req.URI, " HTTP/1.1\r\nHost: ", req.Host, "\r\n"} {
		_, _ = w.WriteString(s) // a bufio.Writer returns its first error on Flush
	}
}

// copyChunks copies r to w in chunked transfer coding, including the last chunk.
func copyChunks(w io.Writer, r io.Reader) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, werr := io.WriteString(w, "0\r\n\r\n")
			return werr
		}
		if err != nil {
			return err
		}
	}
}
