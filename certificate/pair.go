// Package certificate gives TLS configurations from PEM files and follows their changes
// without a restart.
package certificate

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// Pair is a certificate with its key and, for peers, the authorities that sign the peers'
// certificates. It is safe for concurrent use.
type Pair struct {
	certFile, keyFile, authorityFile string
	now                              func() time.Time

	mu      sync.Mutex
	read    contents // of the last attempt, good or not
	current state
}

// contents are compared instead of modification times, which are too coarse for two
// changes in a row and stay the same in some copies.
type contents struct{ cert, key, authorities []byte }

type state struct {
	cert        *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files. authorityFile is empty when no mutual TLS is used.
func Load(certFile, keyFile, authorityFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, authorityFile: authorityFile, now: time.Now}
	_, err := p.Refresh()
	if err != nil {
		return nil, err
	}
	return p, nil
}

// Refresh reads the files again and tells whether new ones are in force. On an error the
// last good files stay in force. An error is reported once for the same contents. Files
// that are replaced one after the other do not match for a moment; the next Refresh finds
// them complete.
func (p *Pair) Refresh() (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read, err := p.readFiles()
	if err != nil {
		return false, err
	}
	if bytes.Equal(read.cert, p.read.cert) && bytes.Equal(read.key, p.read.key) && bytes.Equal(read.authorities, p.read.authorities) {
		return false, nil
	}
	p.read = read
	next, err := p.parse(read)
	if err != nil {
		return false, err
	}
	p.current = next
	return true, nil
}

// Watch refreshes the files at each interval until ctx ends, and then closes the channel.
// report gets each change (nil) and each error.
func (p *Pair) Watch(ctx context.Context, interval time.Duration, report func(error)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if changed, err := p.Refresh(); changed || err != nil {
				report(err)
			}
		}
	}()
	return done
}

func (p *Pair) readFiles() (contents, error) {
	var c contents
	for _, f := range []struct {
		name string
		to   *[]byte
	}{{p.certFile, &c.cert}, {p.keyFile, &c.key}, {p.authorityFile, &c.authorities}} {
		if f.name == "" {
			continue
		}
		data, err := os.ReadFile(f.name)
		if err != nil {
			return c, &FileError{File: f.name, Err: err}
		}
		*f.to = data
	}
	return c, nil
}

func (p *Pair) parse(c contents) (state, error) {
	cert, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return state{}, &FileError{File: p.certFile, Err: err}
	}
	if now := p.now(); now.Before(cert.Leaf.NotBefore) || now.After(cert.Leaf.NotAfter) {
		return state{}, &FileError{File: p.certFile, Err: &PeriodError{
			NotBefore: cert.Leaf.NotBefore.Format(time.RFC3339), NotAfter: cert.Leaf.NotAfter.Format(time.RFC3339),
		}}
	}
	s := state{cert: &cert, authorities: x509.NewCertPool()}
	if p.authorityFile != "" && !s.authorities.AppendCertsFromPEM(c.authorities) {
		return state{}, &FileError{File: p.authorityFile, Err: &AuthorityError{}}
	}
	return s, nil
}

func (p *Pair) state() state {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Server returns a configuration for callers, who show no certificate. It follows changes
// of the files from the next handshake on.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.state().cert, nil
		},
	}
}

// PeerServer returns a configuration that accepts only peers with a certificate of an
// authority. It follows changes of the files from the next handshake on. Session tickets
// are off, so that a withdrawn authority counts from then on too.
func (p *Pair) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			s := p.state()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*s.cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              s.authorities,
				SessionTicketsDisabled: true,
				NextProtos:             []string{"http/1.1"},
			}, nil
		},
	}
}

// PeerClient returns a configuration for connections to the peer of this name or IP
// address; with an empty name the dialer sets it. The own certificate follows changes of
// the files. The authorities are those of the time of the call, because crypto/tls has no
// hook for new ones: a new authority for dialing needs a new configuration.
func (p *Pair) PeerClient(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		RootCAs:    p.state().authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.state().cert, nil
		},
		NextProtos: []string{"http/1.1"},
	}
}
