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

// Pack returns the header block as base64 text.
func (p *Packer) Pack(h http.Header) string {
	if p.enc == nil {
		p.enc = hpack.NewEncoder(&p.buf)
	}
	p.buf.Reset()
	for name, values := range h {
		for _, v := range values {
			// Writing to a bytes.Buffer never fails.
			_ = p.enc.WriteField(hpack.HeaderField{Name: name, Value: v, Sensitive: p.NeverIndexed[name]})
		}
	}
	return coding.EncodeToString(p.buf.Bytes())
}
