package onceonly

import "testing"

func FuzzParseToken(f *testing.F) {
	secret := []byte("0123456789abcdef")
	f.Add(Token{Service: "s", VM: "v"}.Issue(secret))
	f.Add("rst1.x.y")
	f.Fuzz(func(t *testing.T, s string) {
		tok, err := ParseToken(secret, s)
		if err != nil {
			return
		}
		if again, err := ParseToken(secret, tok.Issue(secret)); err != nil || again != tok {
			t.Fatalf("%q: %+v became %+v, %v", s, tok, again, err)
		}
	})
}
