package headerpack

import (
	"bytes"
	"encoding/base64"
	"net/http"

	"golang.org/x/net/http2/hpack"
)

// HeaderName is the name of the HTTP/1.1 header that carries the packed headers.
const HeaderName = "Rs-H"

// coding is the text encoding of packed headers.
var coding = base64.RawURLEncoding

// Packer packs the headers that one side of a connection sends. Its zero value is ready; it isn't safe for concurrent use.
type Packer struct {
	buf bytes.Buffer
	enc *hpack.Encoder
	// NeverIndexed holds the names of headers whose values hardly ever recur; they don't enter the dynamic table.
	NeverIndexed map[string]bool
}

// Field is a header with a single value.
type Field struct{ Name, Value string }

// Pack returns the header block as base64 text. The fields replace headers of the same name in h.
func (p *Packer) Pack(h http.Header, fields ...Field) string {
	if p.enc == nil {
		p.enc = hpack.NewEncoder(&p.buf)
	}
	p.buf.Reset()
	for name, values := range h {
		if HasField(fields, name) {
			continue
		}
		for _, v := range values {
			p.write(name, v)
		}
	}
	for _, f := range fields {
		p.write(f.Name, f.Value)
	}
	return coding.EncodeToString(p.buf.Bytes())
}

// write packs one header into the buffer.
func (p *Packer) write(name, value string) {
	// Writing to a bytes.Buffer never fails.
	_ = p.enc.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: p.NeverIndexed[name]})
}

// HasField reports whether one of the fields has the name.
func HasField(fields []Field, name string) bool {
	for _, f := range fields {
		if f.Name == name {
			return true
		}
	}
	return false
}
