package onceonly

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"
)

// DefaultTokenLifetime is the time for which a token may be used after it was issued.
const DefaultTokenLifetime = time.Minute

// tokenPrefix starts every token, so that a caller's own key is never taken for one.
const tokenPrefix = "rst1."

// macLen is the length in bytes of a token's authentication code.
const macLen = 16

// Token is a key that names its home, and so is known to be new there.
type Token struct {
	Service     string `json:"s"`
	VM          string `json:"v"`
	Incarnation string `json:"i"`
	IssuedMS    int64  `json:"t"` // Unix milliseconds
	Nonce       string `json:"n"`
}

// TokenError reports a key that looks like a token and isn't a good one.
type TokenError struct{ Reason string }

// Error says what is wrong with the token.
func (e *TokenError) Error() string { return "token " + e.Reason }

// IsToken tells whether the key claims to be a token.
func IsToken(key string) bool { return strings.HasPrefix(key, tokenPrefix) }

// Issue writes the token down, authenticated with the daemons' secret.
func (t Token) Issue(secret []byte) string {
	b, err := json.Marshal(t)
	if err != nil {
		panic("onceonly: " + err.Error()) // a plain struct of strings always marshals
	}
	body := base64.RawURLEncoding.EncodeToString(b)
	return tokenPrefix + body + "." + base64.RawURLEncoding.EncodeToString(tokenMAC(secret, body))
}

// ParseToken reads a token and checks its code; the error is a *TokenError.
func ParseToken(secret []byte, key string) (Token, error) {
	body, code, ok := strings.Cut(strings.TrimPrefix(key, tokenPrefix), ".")
	if !ok || !IsToken(key) {
		return Token{}, &TokenError{"is malformed"}
	}
	mac, err := base64.RawURLEncoding.DecodeString(code)
	if err != nil || !hmac.Equal(mac, tokenMAC(secret, body)) {
		return Token{}, &TokenError{"has a wrong authentication code"}
	}
	b, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Token{}, &TokenError{"is malformed"}
	}
	var t Token
	if err := json.Unmarshal(b, &t); err != nil {
		return Token{}, &TokenError{"is malformed"}
	}
	return t, nil
}

// Fresh tells whether the token may still start a run; clocks may differ by up to one life.
func (t Token) Fresh(now time.Time, life time.Duration) bool {
	age := now.Sub(time.UnixMilli(t.IssuedMS))
	return age < life && age > -life
}

func tokenMAC(secret []byte, body string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return h.Sum(nil)[:macLen]
}
