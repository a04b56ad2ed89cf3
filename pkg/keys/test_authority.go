package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// testCertLifetime is the validity of the authority's own certificate and of those that WriteFiles issues.
const testCertLifetime = 30 * 24 * time.Hour

// secretBytes is the length of a generated token secret.
const secretBytes = 32

// Authority signs certificates for tests and first setups.
type Authority struct {
	cert   *x509.Certificate
	der    []byte
	key    *ecdsa.PrivateKey
	secret []byte
	now    time.Time
}

// NewAuthority returns an authority with a new key and token secret; the lifetimes of its certificates count from now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "rockspoke test authority"},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(testCertLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	return &Authority{cert: cert, der: der, key: key, secret: secret, now: now}, nil
}

// Issue returns a new key and certificate of the holder; the certificate expires after lifetime.
func (a *Authority) Issue(id Identity, lifetime time.Duration) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return Material{}, err
	}
	tmpl := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: id.Name},
		NotBefore: a.now.Add(-time.Hour), NotAfter: a.now.Add(lifetime),
		URIs: []*url.URL{id.URI()}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	if err != nil {
		return Material{}, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return Material{}, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return Material{
		Cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf},
		Pool: pool, Identity: id, Secret: a.secret, Expires: leaf.NotAfter,
	}, nil
}

// Names of the files that WriteFiles writes besides NAME.crt and NAME.key.
const (
	FileCA     = "ca.crt"
	FileSecret = "token.secret"
)

// WriteFiles issues a certificate for each holder and writes it to the directory with its key, the authority's certificate and the token
// secret.
func (a *Authority) WriteFiles(dir string, holders []Identity) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, FileCA), "CERTIFICATE", a.der); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, FileSecret), a.secret, 0o600); err != nil {
		return err
	}
	for _, id := range holders {
		m, err := a.Issue(id, testCertLifetime)
		if err != nil {
			return err
		}
		if err := writePEM(filepath.Join(dir, id.Name+".crt"), "CERTIFICATE", m.Cert.Certificate[0]); err != nil {
			return err
		}
		der, err := x509.MarshalPKCS8PrivateKey(m.Cert.PrivateKey)
		if err != nil {
			return err
		}
		if err := writePEM(filepath.Join(dir, id.Name+".key"), "PRIVATE KEY", der); err != nil {
			return err
		}
	}
	return nil
}

// writePEM writes a PEM file with one block of the given kind.
func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
