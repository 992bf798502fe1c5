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

// key describes one setting. The table below is also the source of docs/settings.md.
type key struct {
	section, name string
	preset        string
	required      bool
	accepted      string
	meaning       string
	set           func(s *Settings, value string) error
}

var word = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const minSecretLen = 16

var keys = []key{
	{
		section: "entry", name: "name", required: true,
		accepted: "1 to 63 characters a-z, 0-9 and -",
		meaning:  "Name of this entry host; a replacement may reuse it.",
		set:      func(s *Settings, v string) error { s.Name = v; return matchWord(v) },
	},
	{
		section: "entry", name: "zone", required: true,
		accepted: "1 to 63 characters a-z, 0-9 and -",
		meaning:  "Availability zone of this entry host.",
		set:      func(s *Settings, v string) error { s.Zone = v; return matchWord(v) },
	},
	{
		section: "entry", name: "callers-address", required: true,
		accepted: "IP address and port",
		meaning:  "Address on which callers send requests.",
		set:      func(s *Settings, v string) error { return setAddress(&s.CallersAddress, v) },
	},
	{
		section: "entry", name: "operator-address", required: true,
		accepted: "IP address and port",
		meaning:  "Address of the operator API, metrics, health and profiles.",
		set:      func(s *Settings, v string) error { return setAddress(&s.OperatorAddress, v) },
	},
	{
		section: "entry", name: "stop-timeout", preset: "65s",
		accepted: "a duration from 1s to 10m",
		meaning:  "Longest wait for running requests at a graceful shutdown.",
		set: func(s *Settings, v string) error {
			return setDuration(&s.StopTimeout, v, time.Second, 10*time.Minute)
		},
	},
	{
		section: "store", name: "url", required: true,
		accepted: "http:// or https:// with an IP address and port",
		meaning:  "Address of the platform's key-value service.",
		set:      func(s *Settings, v string) error { s.StoreURL = strings.TrimSuffix(v, "/"); return checkURL(v) },
	},
	{
		section: "store", name: "timeout", preset: "1s",
		accepted: "a duration from 10ms to 30s",
		meaning:  "Longest wait for one answer of the store.",
		set: func(s *Settings, v string) error {
			return setDuration(&s.StoreTimeout, v, 10*time.Millisecond, 30*time.Second)
		},
	},
	{
		section: "peers", name: "address", required: true,
		accepted: "IP address and port",
		meaning:  "Address on which the other entry hosts connect.",
		set:      func(s *Settings, v string) error { return setAddress(&s.PeerAddress, v) },
	},
	{
		section: "peers", name: "secret-file", required: true,
		accepted: "a readable file with at least 16 bytes, the same on all entry hosts",
		meaning:  "Secret by which entry hosts authenticate each other.",
		set:      func(s *Settings, v string) error { return setSecret(&s.ClusterSecret, v) },
	},
	{
		section: "tls", name: "certificate-file",
		accepted: "a readable PEM file",
		meaning:  "Certificate towards callers, operators and peers; plain HTTP when absent.",
		set:      func(s *Settings, v string) error { return setPEM(&s.CertificateFile, v) },
	},
	{
		section: "tls", name: "key-file",
		accepted: "a readable PEM file",
		meaning:  "Private key of the certificate.",
		set:      func(s *Settings, v string) error { return setPEM(&s.KeyFile, v) },
	},
	{
		section: "tls", name: "peer-ca-file",
		accepted: "a readable PEM file",
		meaning:  "Authority that signs the certificates of entry hosts.",
		set:      func(s *Settings, v string) error { return setPEM(&s.PeerCAFile, v) },
	},
	{
		section: "limits", name: "max-body-bytes", preset: "1073741824",
		accepted: "1 to 1099511627776",
		meaning:  "Largest request body in bytes.",
		set:      func(s *Settings, v string) error { return setInt(&s.MaxBodyBytes, v, 1, 1<<40) },
	},
	{
		section: "limits", name: "max-connections", preset: "20000",
		accepted: "1 to 1000000",
		meaning:  "Most open connections of callers.",
		set: func(s *Settings, v string) error {
			var n int64
			err := setInt(&n, v, 1, 1_000_000)
			s.MaxConnections = int(n)
			return err
		},
	},
	{
		section: "limits", name: "header-timeout", preset: "10s",
		accepted: "a duration from 100ms to 5m",
		meaning:  "Longest time in which a caller may send the request header.",
		set: func(s *Settings, v string) error {
			return setDuration(&s.HeaderTimeout, v, 100*time.Millisecond, 5*time.Minute)
		},
	},
}

func matchWord(v string) error {
	if !word.MatchString(v) {
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
	if len(*p) < minSecretLen {
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

func setPEM(p *string, file string) error {
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
