package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Files holds the paths of one holder's keys; all are PEM files except the token secret.
type Files struct {
	CA          string `yaml:"ca"`
	Cert        string `yaml:"cert"`
	Key         string `yaml:"key"`
	TokenSecret string `yaml:"tokenSecret,omitempty"` // any bytes, the same for all daemons; at least 16
}

// minSecretBytes is the minimum length of a token secret.
const minSecretBytes = 16

// Material holds the contents of one holder's key files.
type Material struct {
	Cert     tls.Certificate
	Pool     *x509.CertPool
	Identity Identity
	Secret   []byte
	Expires  time.Time
}

// FileError reports an unusable key file.
type FileError struct {
	Path   string
	Reason string
}

// Error names the file and what is wrong with it.
func (e *FileError) Error() string { return fmt.Sprintf("key file %s: %s", e.Path, e.Reason) }

// Store holds the current keys and reloads them on request, so that they can be replaced without a restart.
type Store struct {
	// OnRejected is called, if set, with the reason for each rejected certificate of a remote side; set it before the first connection.
	OnRejected func(err error)

	files   Files
	now     func() time.Time
	current atomic.Pointer[Material]
}

// Open returns a Store of the keys in the files; the error is a *FileError. now returns the current time.
func Open(files Files, now func() time.Time) (*Store, error) {
	s := &Store{files: files, now: now}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// NewStaticStore returns a Store of keys that have no files and never change.
func NewStaticStore(m Material, now func() time.Time) *Store {
	s := &Store{now: now}
	s.current.Store(&m)
	return s
}

// Reload reads the files again; on an error, a *FileError, the current keys stay in use.
func (s *Store) Reload() error {
	if s.files == (Files{}) {
		return nil
	}
	m, err := loadFiles(s.files)
	if err != nil {
		return err
	}
	if s.now().After(m.Expires) {
		return &FileError{s.files.Cert, "expired at " + m.Expires.Format(time.RFC3339)}
	}
	s.current.Store(m)
	return nil
}

// Current returns the current keys.
func (s *Store) Current() *Material { return s.current.Load() }

// loadFiles reads the files; the error is a *FileError.
func loadFiles(f Files) (*Material, error) {
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &FileError{f.CA, err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &FileError{f.CA, "contains no certificate"}
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &FileError{f.Cert, err.Error()}
	}
	id, err := IdentityOf(cert.Leaf)
	if err != nil {
		return nil, &FileError{f.Cert, err.Error()}
	}
	m := &Material{Cert: cert, Pool: pool, Identity: id, Expires: cert.Leaf.NotAfter}
	if f.TokenSecret == "" {
		return m, nil
	}
	m.Secret, err = os.ReadFile(f.TokenSecret)
	if err != nil {
		return nil, &FileError{f.TokenSecret, err.Error()}
	}
	if len(m.Secret) < minSecretBytes {
		return nil, &FileError{f.TokenSecret, fmt.Sprintf("is shorter than %d bytes", minSecretBytes)}
	}
	return m, nil
}

// ServerConfig returns the TLS settings of a listener that accepts clients of the given roles; protos are its ALPN protocols.
func (s *Store) ServerConfig(protos []string, roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protos,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.Current().Cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, err := s.verify(cs, x509.ExtKeyUsageClientAuth, roles)
			return err
		},
	}
}

// ClientConfig returns the TLS settings of a connection to the named VM, or to any VM if the name is empty; protos are its ALPN protocols.
func (s *Store) ClientConfig(protos []string, vm string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protos,
		InsecureSkipVerify: true, // VerifyConnection checks the chain and the VM's identity instead of a host name
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.Current().Cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			id, err := s.verify(cs, x509.ExtKeyUsageServerAuth, []Role{RoleVM})
			if err != nil {
				return err
			}
			if vm != "" && id.Name != vm {
				return &IdentityError{Want: "VM " + vm, Have: id.Name}
			}
			return nil
		},
	}
}

// verify returns the identity of the remote side, and calls OnRejected if its certificate is rejected.
func (s *Store) verify(cs tls.ConnectionState, use x509.ExtKeyUsage, roles []Role) (Identity, error) {
	id, err := s.identify(cs, use, roles)
	if err != nil && s.OnRejected != nil {
		s.OnRejected(err)
	}
	return id, err
}

// identify returns the identity of the remote side if its certificate is signed by the authority, valid now and for the given use, and
// has one of the roles; the error is an *IdentityError or one of x509.
func (s *Store) identify(cs tls.ConnectionState, use x509.ExtKeyUsage, roles []Role) (Identity, error) {
	if len(cs.PeerCertificates) == 0 {
		return Identity{}, &IdentityError{Want: "anyone", Have: ""}
	}
	leaf := cs.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: s.Current().Pool, Intermediates: intermediates,
		CurrentTime: s.now(), KeyUsages: []x509.ExtKeyUsage{use},
	})
	if err != nil {
		return Identity{}, err
	}
	id, err := IdentityOf(leaf)
	if err != nil {
		return Identity{}, err
	}
	for _, r := range roles {
		if id.Role == r {
			return id, nil
		}
	}
	return Identity{}, &IdentityError{Want: fmt.Sprint(roles), Have: string(id.Role) + " " + id.Name}
}
