package headerpack

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestUnpackReturnsThePackedHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, u := Packer{NeverIndexed: map[string]bool{"A": true}}, Unpacker{}
		name := rapid.SampledFrom([]string{"A", "B", "Content-Type", "X-Long-Name", "User-Agent"})
		for range rapid.IntRange(1, 20).Draw(t, "headers") {
			h := http.Header{}
			for range rapid.IntRange(0, 8).Draw(t, "fields") {
				h.Add(name.Draw(t, "name"), rapid.StringN(0, 300, -1).Draw(t, "value"))
			}
			got, err := u.Unpack(p.Pack(h))
			if err != nil || fmt.Sprint(got) != fmt.Sprint(h) {
				t.Fatalf("%v: %v %v", h, got, err)
			}
		}
	})
}

// typicalHeader returns typical request headers, of which only the ID depends on i.
func typicalHeader(i int) http.Header {
	return http.Header{
		"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "User-Agent": {"sdk-client/1.9.3"},
		"Rockspoke-Id": {fmt.Sprintf("%016x.%016x", i*7919, i*104729)}, "Rs-C": {"yeno26d,r-dxhbb7k,zilo76c,1,1,6"},
	}
}

func TestRecurringHeadersArePackedShort(t *testing.T) {
	c := qt.New(t)
	p := Packer{NeverIndexed: map[string]bool{"Rockspoke-Id": true}}
	first := len(p.Pack(typicalHeader(1)))
	for i := 2; i < 100; i++ {
		c.Assert(len(p.Pack(typicalHeader(i))) < min(first/2, 60), qt.IsTrue, qt.Commentf("%d of %d", len(p.Pack(typicalHeader(i))), first))
	}
}

func TestUnpackRefusesOversizedHeaders(t *testing.T) {
	c := qt.New(t)
	var p Packer
	var u Unpacker
	_, err := u.Unpack(p.Pack(http.Header{"A": {strings.Repeat("x", MaxBytes)}}))
	var e *Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
}

func FuzzUnpack(f *testing.F) {
	var p Packer
	f.Add(p.Pack(typicalHeader(1)))
	f.Add("not base64!")
	f.Fuzz(func(t *testing.T, text string) {
		var u Unpacker
		h, err := u.Unpack(text)
		var e *Error
		if err != nil && !errors.As(err, &e) || err == nil && h == nil {
			t.Fatal(h, err)
		}
	})
}

func BenchmarkPackAndUnpack(b *testing.B) {
	p, u := Packer{NeverIndexed: map[string]bool{"Rockspoke-Id": true}}, Unpacker{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := u.Unpack(p.Pack(typicalHeader(i))); err != nil {
			b.Fatal(err)
		}
	}
}
