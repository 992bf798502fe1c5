package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// files are the PEM files of one self-signed certificate, which is its own authority.
type files struct{ cert, key string }

func write(c *qt.C, f files, serial int64, until time.Time) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	t := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: until,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	for name, block := range map[string]*pem.Block{f.cert: {Type: "CERTIFICATE", Bytes: der}, f.key: {Type: "PRIVATE KEY", Bytes: pkcs8}} {
		c.Assert(os.WriteFile(name, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
}

func newPair(c *qt.C, serial int64) (files, *Pair) {
	dir := c.TempDir()
	f := files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")}
	write(c, f, serial, time.Now().Add(time.Hour))
	p, err := Load(f.cert, f.key, f.cert)
	c.Assert(err, qt.IsNil)
	return f, p
}

// handshake returns the serial number that the server showed, or the first error.
func handshake(c *qt.C, server, client *tls.Config) (int64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	failed := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			defer conn.Close()
			err = tls.Server(conn, server).Handshake()
		}
		failed <- err
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-failed
}

// Guards against a restart for new files, and against bad files that replace good ones.
func TestFollowsFilesAndKeepsLastGood(t *testing.T) {
	c := qt.New(t)
	f, p := newPair(c, 1)
	server, client := p.Server(), p.PeerClient("127.0.0.1")
	shows := func(serial int64) {
		c.Helper()
		got, err := handshake(c, server, &tls.Config{InsecureSkipVerify: true})
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, serial)
		shown, err := client.GetClientCertificate(nil)
		c.Assert(err, qt.IsNil)
		c.Assert(shown.Leaf.SerialNumber.Int64(), qt.Equals, serial)
	}
	shows(1)
	write(c, f, 2, time.Now().Add(time.Hour))
	changed, err := p.Refresh()
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	shows(2)
	key, err := os.ReadFile(f.key)
	c.Assert(err, qt.IsNil)
	for _, spoil := range []func(){
		func() { write(c, f, 3, time.Now().Add(-time.Minute)) },
		func() { c.Assert(os.WriteFile(f.key, key, 0o600), qt.IsNil) },
		func() { c.Assert(os.Remove(f.cert), qt.IsNil) },
	} {
		spoil()
		_, err := p.Refresh()
		c.Assert(err, qt.ErrorAs, new(*FileError))
		shows(2)
	}
}

// Guards against a peer without a certificate of an authority, on either side.
func TestMutual(t *testing.T) {
	c := qt.New(t)
	_, ours := newPair(c, 1)
	_, other := newPair(c, 2)
	_, err := handshake(c, ours.PeerServer(), ours.PeerClient("127.0.0.1"))
	c.Assert(err, qt.IsNil)
	_, err = handshake(c, ours.PeerServer(), ours.PeerClient("127.0.0.2"))
	c.Assert(err, qt.ErrorAs, new(x509.HostnameError))
	_, err = handshake(c, other.PeerServer(), ours.PeerClient("127.0.0.1"))
	c.Assert(err, qt.ErrorAs, new(x509.UnknownAuthorityError))
	stranger := other.PeerClient("127.0.0.1")
	stranger.RootCAs = ours.state().authorities
	_, err = handshake(c, ours.PeerServer(), stranger)
	c.Assert(err, qt.IsNotNil)
}
