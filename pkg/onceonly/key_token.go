package onceonly

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"
)

// DefaultTokenLifetime is the time after its issue for which a token may start a run.
const DefaultTokenLifetime = time.Minute

// tokenPrefix starts every token, which distinguishes tokens from clients' own keys.
const tokenPrefix = "rst1."

// macBytes is the length in bytes of a token's authentication code.
const macBytes = 16

// Token is a key that names its home. No other home can have run it, so it is new there unless the home's memory holds it.
type Token struct {
	Service     string `json:"s"`
	VM          string `json:"v"`
	Incarnation string `json:"i"`
	IssuedMS    int64  `json:"t"` // Unix milliseconds
	Nonce       string `json:"n"`
}

// TokenError reports a key that has the form of a token and is invalid.
type TokenError struct{ Reason string }

// Error says what is wrong with the token.
func (e *TokenError) Error() string { return "token " + e.Reason }

// IsToken reports whether the key has the prefix of a token.
func IsToken(key string) bool { return strings.HasPrefix(key, tokenPrefix) }

// Issue returns the token as a key, authenticated with the daemons' secret.
func (t Token) Issue(secret []byte) string {
	b, err := json.Marshal(t)
	if err != nil {
		panic("onceonly: " + err.Error()) // a struct of strings and integers always marshals
	}
	body := base64.RawURLEncoding.EncodeToString(b)
	return tokenPrefix + body + "." + base64.RawURLEncoding.EncodeToString(tokenMAC(secret, body))
}

// ParseToken decodes a key into a token and verifies its authentication code; the error is a *TokenError.
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

// Fresh reports whether the token may still start a run; clocks may differ by up to lifetime.
func (t Token) Fresh(now time.Time, lifetime time.Duration) bool {
	age := now.Sub(time.UnixMilli(t.IssuedMS))
	return age < lifetime && age > -lifetime
}

// tokenMAC returns the authentication code of a token's encoded body.
func tokenMAC(secret []byte, body string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return h.Sum(nil)[:macBytes]
}
