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

// testLife is the time for which test certificates hold.
const testLife = 30 * 24 * time.Hour

// secretLen is the length of a made token secret in bytes.
const secretLen = 32

// Authority signs certificates for tests and first steps.
type Authority struct {
	cert   *x509.Certificate
	der    []byte
	key    *ecdsa.PrivateKey
	secret []byte
	now    time.Time
}

// NewAuthority makes an authority with a new key and token secret.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "rockspoke test authority"},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(testLife),
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
	secret := make([]byte, secretLen)
	if _, err := rand.Read(secret); err != nil {
		return nil, err
	}
	return &Authority{cert: cert, der: der, key: key, secret: secret, now: now}, nil
}

// Issue signs a certificate for the holder that ends after life.
func (a *Authority) Issue(id Identity, life time.Duration) (Material, error) {
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
		NotBefore: a.now.Add(-time.Hour), NotAfter: a.now.Add(life),
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

// Names of the files that WriteFiles makes besides NAME.crt and NAME.key.
const (
	FileCA     = "ca.crt"
	FileSecret = "token.secret"
)

// WriteFiles issues a certificate for each holder into the folder, with the authority and the token secret.
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
		m, err := a.Issue(id, testLife)
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

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
