package headerpack

import (
	"bytes"
	"encoding/base64"
	"net/http"

	"golang.org/x/net/http2/hpack"
)

// HeaderName is the header of HTTP/1.1 that carries the packed ones.
const HeaderName = "Rs-H"

// coding is the text form of packed headers.
var coding = base64.RawURLEncoding

// Packer packs the headers that one side of a connection sends; its zero value works, for one goroutine at a time.
type Packer struct {
	buf bytes.Buffer
	enc *hpack.Encoder
	// NeverIndexed lists the names whose values hardly come twice: the other side doesn't remember them.
	NeverIndexed map[string]bool
}

// Pack returns the header as text.
func (p *Packer) Pack(h http.Header) string {
	if p.enc == nil {
		p.enc = hpack.NewEncoder(&p.buf)
	}
	p.buf.Reset()
	for name, values := range h {
		for _, v := range values {
			// A bytes.Buffer never fails to be written to.
			_ = p.enc.WriteField(hpack.HeaderField{Name: name, Value: v, Sensitive: p.NeverIndexed[name]})
		}
	}
	return coding.EncodeToString(p.buf.Bytes())
}
