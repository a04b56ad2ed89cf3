package keys

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"
)

// Role determines what the holder of a certificate may do.
type Role string

// The roles.
const (
	RoleVM        Role = "vm"
	RoleReadOnly  Role = "read-only"
	RoleReadWrite Role = "read-write"
)

// identityScheme is the URI scheme of identities in certificates.
const identityScheme = "rockspoke"

// Identity identifies the holder of a certificate.
type Identity struct {
	Role Role
	Name string
	Zone string // of a VM
}

// IdentityError reports a certificate without a valid holder, or with another one than expected.
type IdentityError struct {
	Want string
	Have string
}

// Error names the expected and the actual holder.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("certificate is for %q, not for %s", e.Have, e.Want)
}

// URI returns the identity as the URI that a certificate contains.
func (id Identity) URI() *url.URL {
	u := &url.URL{Scheme: identityScheme, Host: "operator", Path: "/" + id.Name}
	q := url.Values{"role": {string(id.Role)}}
	if id.Role == RoleVM {
		u.Host = "vm"
		q = url.Values{"zone": {id.Zone}}
	}
	u.RawQuery = q.Encode()
	return u
}

// IdentityOf returns the holder that a certificate names; the error is an *IdentityError.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	for _, u := range cert.URIs {
		if u.Scheme != identityScheme {
			continue
		}
		name := strings.TrimPrefix(u.Path, "/")
		switch u.Host {
		case "vm":
			return Identity{Role: RoleVM, Name: name, Zone: u.Query().Get("zone")}, nil
		case "operator":
			role := Role(u.Query().Get("role"))
			if role == RoleReadOnly || role == RoleReadWrite {
				return Identity{Role: role, Name: name}, nil
			}
		}
	}
	return Identity{}, &IdentityError{Want: "a VM or an operator", Have: cert.Subject.CommonName}
}
