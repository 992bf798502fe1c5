// Package certificate provides TLS configurations from PEM files and reloads the files
// without a restart when they change.
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

// Pair is a certificate with its private key and, for mutual TLS, the certificate
// authorities (CAs) that sign the peers' certificates. It is safe for concurrent use.
type Pair struct {
	certFile, keyFile, caFile string
	now                       func() time.Time

	mu       sync.Mutex
	lastRead fileContents // of the last attempt, valid or not
	current  credentials
}

// fileContents holds the contents of the files. Refresh compares contents rather than
// modification times, which are too coarse for two changes in quick succession and which
// some ways of copying preserve.
type fileContents struct{ cert, key, caCerts []byte }

type credentials struct {
	cert   *tls.Certificate
	caPool *x509.CertPool
}

// Load reads the files. caFile is empty if mutual TLS is not used.
func Load(certFile, keyFile, caFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, caFile: caFile, now: time.Now}
	_, err := p.Refresh()
	if err != nil {
		return nil, err
	}
	return p, nil
}

// Refresh reads the files again and reports whether new contents are now in use. On an
// error the last valid contents stay in use. Invalid contents are reported once; the next
// Refresh ignores them if they have not changed. While files are replaced one after the
// other, they may not match each other; a later Refresh reads the complete set.
func (p *Pair) Refresh() (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	contents, err := p.readFiles()
	if err != nil {
		return false, err
	}
	if bytes.Equal(contents.cert, p.lastRead.cert) && bytes.Equal(contents.key, p.lastRead.key) && bytes.Equal(contents.caCerts, p.lastRead.caCerts) {
		return false, nil
	}
	p.lastRead = contents
	parsed, err := p.parse(contents)
	if err != nil {
		return false, err
	}
	p.current = parsed
	return true, nil
}

// Watch calls Refresh at each interval until ctx ends, and then closes the returned
// channel. It calls report with nil after each change and with each error.
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

func (p *Pair) readFiles() (fileContents, error) {
	var contents fileContents
	for _, f := range []struct {
		name string
		dest *[]byte
	}{{p.certFile, &contents.cert}, {p.keyFile, &contents.key}, {p.caFile, &contents.caCerts}} {
		if f.name == "" {
			continue
		}
		data, err := os.ReadFile(f.name)
		if err != nil {
			return contents, &FileError{File: f.name, Err: err}
		}
		*f.dest = data
	}
	return contents, nil
}

func (p *Pair) parse(contents fileContents) (credentials, error) {
	cert, err := tls.X509KeyPair(contents.cert, contents.key)
	if err != nil {
		return credentials{}, &FileError{File: p.certFile, Err: err}
	}
	if now := p.now(); now.Before(cert.Leaf.NotBefore) || now.After(cert.Leaf.NotAfter) {
		return credentials{}, &FileError{File: p.certFile, Err: &PeriodError{
			NotBefore: cert.Leaf.NotBefore.Format(time.RFC3339), NotAfter: cert.Leaf.NotAfter.Format(time.RFC3339),
		}}
	}
	parsed := credentials{cert: &cert, caPool: x509.NewCertPool()}
	if p.caFile != "" && !parsed.caPool.AppendCertsFromPEM(contents.caCerts) {
		return credentials{}, &FileError{File: p.caFile, Err: &EmptyCAFileError{}}
	}
	return parsed, nil
}

func (p *Pair) credentials() credentials {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// Server returns a configuration for clients without a certificate. Changes of the files
// take effect from the next handshake on.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return p.credentials().cert, nil
		},
	}
}

// PeerServer returns a configuration that accepts only peers with a certificate signed by
// one of the CAs. Changes of the files take effect from the next handshake on. Session
// tickets are disabled, so that this also holds for the removal of a CA.
func (p *Pair) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := p.credentials()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*current.cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              current.caPool,
				SessionTicketsDisabled: true,
				NextProtos:             []string{"http/1.1"},
			}, nil
		},
	}
}

// PeerClient returns a configuration for connections to the peer with this name or IP
// address; if name is empty, the dialer sets it. Changes of the own certificate take effect
// from the next handshake on. The CAs are those at the time of the call, because crypto/tls
// has no callback to replace them: to dial with new CAs, call PeerClient again.
func (p *Pair) PeerClient(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: name,
		RootCAs:    p.credentials().caPool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return p.credentials().cert, nil
		},
		NextProtos: []string{"http/1.1"},
	}
}
