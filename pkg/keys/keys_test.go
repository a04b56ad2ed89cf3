package keys

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// handshake connects a client to a listener on loopback and returns the errors of both sides.
func handshake(c *qt.C, server, client *tls.Config) (serverErr, clientErr error) {
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			_, err = conn.Write([]byte{1})
			_ = conn.Close()
		}
		done <- err
	}()
	conn, clientErr := tls.Dial("tcp", ln.Addr().String(), client)
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1)) // a rejected certificate is reported only here
		_ = conn.Close()
	}
	return <-done, clientErr
}

// issue returns a Store of a certificate that expires after lifetime.
func issue(c *qt.C, a *Authority, id Identity, lifetime time.Duration) *Store {
	m, err := a.Issue(id, lifetime)
	c.Assert(err, qt.IsNil)
	return NewStaticStore(m, time.Now)
}

func TestWrongCertificatesAreRejected(t *testing.T) {
	c := qt.New(t)
	a, err := NewAuthority(time.Now())
	c.Assert(err, qt.IsNil)
	otherAuthority, err := NewAuthority(time.Now())
	c.Assert(err, qt.IsNil)
	vm := Identity{Role: RoleVM, Name: "vm-1", Zone: "z"}
	serverKeys := issue(c, a, vm, time.Hour)
	rejected := 0
	serverKeys.OnRejected = func(error) { rejected++ }
	server := serverKeys.ServerConfig(nil, RoleVM)
	for _, x := range []struct {
		name string
		good bool
		k    *Store
		want string
	}{
		{"a VM", true, issue(c, a, Identity{Role: RoleVM, Name: "vm-2"}, time.Hour), "vm-1"},
		{"another authority", false, issue(c, otherAuthority, Identity{Role: RoleVM, Name: "vm-2"}, time.Hour), "vm-1"},
		{"an expired one", false, issue(c, a, Identity{Role: RoleVM, Name: "vm-2"}, -time.Minute), "vm-1"},
		{"an operator where VMs are wanted", false, issue(c, a, Identity{Role: RoleReadWrite, Name: "ama"}, time.Hour), "vm-1"},
		{"a server that is another VM", false, issue(c, a, Identity{Role: RoleVM, Name: "vm-2"}, time.Hour), "vm-9"},
	} {
		serverErr, clientErr := handshake(c, server, x.k.ClientConfig(nil, x.want))
		c.Assert(serverErr == nil && clientErr == nil, qt.Equals, x.good, qt.Commentf("%s: %v, %v", x.name, serverErr, clientErr))
	}
	c.Assert(rejected, qt.Equals, 2, qt.Commentf("OnRejected is called for each bad client certificate"))
}

func TestKeysAreReloadedWithoutARestart(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	vm := Identity{Role: RoleVM, Name: "vm-1", Zone: "z"}
	write := func() {
		a, err := NewAuthority(time.Now())
		c.Assert(err, qt.IsNil)
		c.Assert(a.WriteFiles(dir, []Identity{vm}), qt.IsNil)
	}
	write()
	k, err := Open(Files{
		CA: filepath.Join(dir, FileCA), Cert: filepath.Join(dir, "vm-1.crt"),
		Key: filepath.Join(dir, "vm-1.key"), TokenSecret: filepath.Join(dir, FileSecret),
	}, time.Now)
	c.Assert(err, qt.IsNil)
	first := k.Current()
	c.Assert(first.Identity, qt.Equals, vm)
	write()
	c.Assert(k.Reload(), qt.IsNil)
	second := k.Current()
	c.Assert(second.Secret, qt.Not(qt.DeepEquals), first.Secret)
	c.Assert(os.WriteFile(filepath.Join(dir, "vm-1.key"), []byte("broken"), 0o600), qt.IsNil)
	c.Assert(k.Reload(), qt.ErrorAs, new(*FileError))
	c.Assert(k.Current(), qt.Equals, second, qt.Commentf("the valid keys stay in use"))
}
