package settings

import (
	"encoding/pem"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// key describes one setting. docs/settings.md is generated from the table below.
type key struct {
	section, name string
	defaultValue  string
	required      bool
	accepted      string
	description   string
	set           func(s *Settings, value string) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const minSecretBytes = 16

var keys = []key{
	{
		section: "entry", name: "name", required: true,
		accepted:    "1 to 63 characters a-z, 0-9 and -",
		description: "Name of this entry host; a replacement may reuse it.",
		set:         func(s *Settings, v string) error { s.Name = v; return checkName(v) },
	},
	{
		section: "entry", name: "zone", required: true,
		accepted:    "1 to 63 characters a-z, 0-9 and -",
		description: "Availability zone of this entry host.",
		set:         func(s *Settings, v string) error { s.Zone = v; return checkName(v) },
	},
	{
		section: "entry", name: "callers-address", required: true,
		accepted:    "IP address and port",
		description: "Address on which callers send requests.",
		set:         func(s *Settings, v string) error { return setAddress(&s.CallersAddress, v) },
	},
	{
		section: "entry", name: "operator-address", required: true,
		accepted:    "IP address and port",
		description: "Address of the operator API, metrics, health and profiles.",
		set:         func(s *Settings, v string) error { return setAddress(&s.OperatorAddress, v) },
	},
	{
		section: "entry", name: "stop-timeout", defaultValue: "65s",
		accepted:    "a duration from 1s to 10m",
		description: "Longest wait for running requests at a graceful shutdown.",
		set: func(s *Settings, v string) error {
			return setDuration(&s.StopTimeout, v, time.Second, 10*time.Minute)
		},
	},
	{
		section: "store", name: "url", required: true,
		accepted:    "http:// or https:// with an IP address and port",
		description: "Address of the platform's key-value service.",
		set:         func(s *Settings, v string) error { s.StoreURL = strings.TrimSuffix(v, "/"); return checkURL(v) },
	},
	{
		section: "store", name: "timeout", defaultValue: "1s",
		accepted:    "a duration from 10ms to 30s",
		description: "Longest wait for one answer of the store.",
		set: func(s *Settings, v string) error {
			return setDuration(&s.StoreTimeout, v, 10*time.Millisecond, 30*time.Second)
		},
	},
	{
		section: "peers", name: "address", required: true,
		accepted:    "IP address and port",
		description: "Address on which the other entry hosts connect.",
		set:         func(s *Settings, v string) error { return setAddress(&s.PeerAddress, v) },
	},
	{
		section: "peers", name: "secret-file", required: true,
		accepted:    "a readable file with at least 16 bytes, the same on all entry hosts",
		description: "Secret by which entry hosts authenticate each other.",
		set:         func(s *Settings, v string) error { return setSecret(&s.ClusterSecret, v) },
	},
	{
		section: "tls", name: "certificate-file",
		accepted:    "a readable PEM file",
		description: "Certificate towards callers, operators and peers; plain HTTP when absent.",
		set:         func(s *Settings, v string) error { return setPEMFile(&s.CertificateFile, v) },
	},
	{
		section: "tls", name: "key-file",
		accepted:    "a readable PEM file",
		description: "Private key of the certificate.",
		set:         func(s *Settings, v string) error { return setPEMFile(&s.KeyFile, v) },
	},
	{
		section: "tls", name: "peer-ca-file",
		accepted:    "a readable PEM file",
		description: "Authority that signs the certificates of entry hosts.",
		set:         func(s *Settings, v string) error { return setPEMFile(&s.PeerCAFile, v) },
	},
	{
		section: "limits", name: "max-body-bytes", defaultValue: "1073741824",
		accepted:    "1 to 1099511627776",
		description: "Largest request body in bytes.",
		set:         func(s *Settings, v string) error { return setInt(&s.MaxBodyBytes, v, 1, 1<<40) },
	},
	{
		section: "limits", name: "max-connections", defaultValue: "20000",
		accepted:    "1 to 1000000",
		description: "Most open connections of callers.",
		set: func(s *Settings, v string) error {
			var n int64
			err := setInt(&n, v, 1, 1_000_000)
			s.MaxConnections = int(n)
			return err
		},
	},
	{
		section: "limits", name: "header-timeout", defaultValue: "10s",
		accepted:    "a duration from 100ms to 5m",
		description: "Longest time in which a caller may send the request header.",
		set: func(s *Settings, v string) error {
			return setDuration(&s.HeaderTimeout, v, 100*time.Millisecond, 5*time.Minute)
		},
	},
}

func checkName(v string) error {
	if !namePattern.MatchString(v) {
		return fmt.Errorf("is %q", v)
	}
	return nil
}

func setAddress(p *netip.AddrPort, v string) error {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return fmt.Errorf("is %q", v)
	}
	*p = a
	return nil
}

func setDuration(p *time.Duration, v string, low, high time.Duration) error {
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		return fmt.Errorf("is %q", v)
	}
	*p = d
	return nil
}

func setInt(p *int64, v string, low, high int64) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		return fmt.Errorf("is %q", v)
	}
	*p = n
	return nil
}

func setSecret(p *string, file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("cannot be read: %w", err)
	}
	*p = strings.TrimSpace(string(b))
	if len(*p) < minSecretBytes {
		return fmt.Errorf("names a file with %d bytes", len(*p))
	}
	return nil
}

func checkURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("is %q", v)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return fmt.Errorf("is %q, without an IP address and a port", v)
	}
	if u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" {
		return fmt.Errorf("is %q, with more than an address", v)
	}
	return nil
}

func setPEMFile(p *string, file string) error {
	*p = file
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("cannot be read: %w", err)
	}
	if block, _ := pem.Decode(b); block == nil {
		return fmt.Errorf("names %s, which holds no PEM block", file)
	}
	return nil
}
