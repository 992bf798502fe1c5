package emulation

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"egretdrum.example/catalog"
)

// key describes one setting of a section whose values are stored in a T.
type key[T any] struct {
	name, defaultValue, accepted string
	set                          func(t *T, value string) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const (
	acceptedDuration = "a duration such as 900ms or 5s"
	acceptedName     = "1 to 63 characters a-z, 0-9 and -"
	acceptedCount    = "a whole number, zero or more"
	acceptedNumber   = "a number above zero"
	acceptedPort     = "a port number, 0 for one that the system chooses"
	acceptedBool     = "true or false"
)

func number[T, N any](name, defaultValue, accepted string, parse func(string) (N, error), field func(*T) *N) key[T] {
	return key[T]{name, defaultValue, accepted, func(t *T, value string) error {
		v, err := parse(value)
		if err != nil {
			return err
		}
		*field(t) = v
		return nil
	}}
}

func duration[T any](name, defaultValue string, field func(*T) *time.Duration) key[T] {
	return number(name, defaultValue, acceptedDuration, parseDuration, field)
}

func count[T any](name, defaultValue string, field func(*T) *int) key[T] {
	return number(name, defaultValue, acceptedCount, parseCount, field)
}

func rate[T any](name, defaultValue string, field func(*T) *float64) key[T] {
	return number(name, defaultValue, acceptedNumber, parsePositive, field)
}

func boolean[T any](name, defaultValue string, field func(*T) *bool) key[T] {
	return number(name, defaultValue, acceptedBool, parseBool, field)
}

func port[T any](name, defaultValue string, field func(*T) *uint16) key[T] {
	return number(name, defaultValue, acceptedPort, parsePort, field)
}

func parseDuration(value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration", value)
	}
	if d < 0 {
		return 0, errors.New("is negative")
	}
	return d, nil
}

func parseCount(value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%q is not a whole number of zero or more", value)
	}
	return n, nil
}

func parsePositive(value string) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || v <= 0 {
		return 0, fmt.Errorf("%q is not a number above zero", value)
	}
	return v, nil
}

func parseBool(value string) (bool, error) {
	v, err := strconv.ParseBool(value)
	if err != nil {
		return false, fmt.Errorf("%q is neither true nor false", value)
	}
	return v, nil
}

func parsePort(value string) (uint16, error) {
	v, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return 0, fmt.Errorf("%q is not a port number", value)
	}
	return uint16(v), nil
}

func parseAddress(value string) (netip.Addr, error) {
	a, err := netip.ParseAddr(value)
	if err != nil || !a.IsLoopback() {
		return a, fmt.Errorf("%q is not a loopback IP address", value)
	}
	return a, nil
}

// parseMillicores parses a number of cores into thousandths.
func parseMillicores(value string) (int, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || v < 0 {
		return 0, fmt.Errorf("%q is not a number of zero or more", value)
	}
	return int(v * 1000), nil
}

func parseClockRate(value string) (float64, error) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || v < 0.98 || v > 1 {
		return 0, fmt.Errorf("%q is not a number from 0.98 to 1", value)
	}
	return v, nil
}

func parseName(value string) (string, error) {
	if !namePattern.MatchString(value) {
		return "", fmt.Errorf("%q is not a name", value)
	}
	return value, nil
}

func parseNames(value string) ([]string, error) {
	names := parseList(value)
	for _, n := range names {
		if _, err := parseName(n); err != nil {
			return nil, err
		}
	}
	return names, nil
}

func parseList(value string) []string {
	var list []string
	for entry := range strings.SplitSeq(value, ",") {
		if entry = strings.TrimSpace(entry); entry != "" && !slices.Contains(list, entry) {
			list = append(list, entry)
		}
	}
	return list
}

func parsePrefix(value string) (string, error) {
	if !strings.HasPrefix(value, "/") || !strings.HasSuffix(value, "/") {
		return "", fmt.Errorf("%q does not begin and end with a slash", value)
	}
	return value, nil
}

var emulationKeys = []key[Settings]{
	number("seed", "1", "a whole number", func(v string) (int64, error) { return strconv.ParseInt(v, 10, 64) }, func(s *Settings) *int64 { return &s.Seed }),
	number("address", "127.0.0.1", "a loopback IP address", parseAddress, func(s *Settings) *netip.Addr { return &s.Address }),
	port("control-port", "18346", func(s *Settings) *uint16 { return &s.ControlPort }),
	port("ingress-port", "18347", func(s *Settings) *uint16 { return &s.IngressPort }),
	port("first-host-port", "18400", func(s *Settings) *uint16 { return &s.FirstHostPort }),
	duration("revoke-within", "5s", func(s *Settings) *time.Duration { return &s.RevokeWithin }),
	duration("evacuate-within", "5s", func(s *Settings) *time.Duration { return &s.EvacuateWithin }),
}

var storeKeys = []key[Settings]{
	rate("writes-per-second", "400", func(s *Settings) *float64 { return &s.Store.WritesPerSecond }),
	rate("reads-per-second", "2000", func(s *Settings) *float64 { return &s.Store.ReadsPerSecond }),
	duration("history", "20s", func(s *Settings) *time.Duration { return &s.Store.History }),
	count("longest-value", "1048576", func(s *Settings) *int { return &s.Store.LongestValue }),
	duration("least-lease", "1s", func(s *Settings) *time.Duration { return &s.Store.LeastLease }),
}

var workerKeys = []key[Settings]{
	duration("heartbeat", "1500ms", func(s *Settings) *time.Duration { return &s.Workers.Heartbeat }),
	duration("longest-lease", "10s", func(s *Settings) *time.Duration { return &s.Workers.LongestLease }),
	duration("stop-time", "900ms", func(s *Settings) *time.Duration { return &s.Workers.StopTime }),
	duration("restart-time", "1s", func(s *Settings) *time.Duration { return &s.Workers.RestartTime }),
	boolean("keep-ids", "true", func(s *Settings) *bool { return &s.Workers.KeepIDs }),
	number("slowest-clock", "0.98", "a number from 0.98 to 1", parseClockRate, func(s *Settings) *float64 { return &s.Workers.SlowestClock }),
	duration("checkpoint-interval", "1s", func(s *Settings) *time.Duration { return &s.Workers.CheckpointInterval }),
	duration("restore-time", "600ms", func(s *Settings) *time.Duration { return &s.Workers.RestoreTime }),
	duration("startup-time", "500ms", func(s *Settings) *time.Duration { return &s.Workers.StartupTime }),
	duration("gang-timeout", "3s", func(s *Settings) *time.Duration { return &s.Workers.GangTimeout }),
	rate("remote-factor", "1.5", func(s *Settings) *float64 { return &s.Workers.RemoteFactor }),
}

var machineKeys = []key[Settings]{
	duration("move-time", "1500ms", func(s *Settings) *time.Duration { return &s.Machines.MoveTime }),
	duration("maintenance-time", "2s", func(s *Settings) *time.Duration { return &s.Machines.MaintenanceTime }),
	rate("orders-per-second", "64", func(s *Settings) *float64 { return &s.Machines.OrdersPerSecond }),
	rate("lists-per-second", "64", func(s *Settings) *float64 { return &s.Machines.ListsPerSecond }),
	boolean("fencing", "true", func(s *Settings) *bool { return &s.Machines.Fencing }),
}

var poolKeys = []key[Pool]{
	count("workers", "4", func(p *Pool) *int { return &p.Workers }),
	number("cores", "4", acceptedNumber, parseMillicores, func(p *Pool) *int { return &p.Capacity.CPU }),
	count("memory", "8192", func(p *Pool) *int { return &p.Capacity.Memory }),
	count("accelerators", "0", func(p *Pool) *int { return &p.Capacity.Accelerators }),
	number("zones", "zone-a", "names of zones, joined by commas", parseNames, func(p *Pool) *[]string { return &p.Zones }),
	number("racks", "1", "a whole number of one or more", parseAtLeastOne, func(p *Pool) *int { return &p.Racks }),
	number("kind", "standard", acceptedName, parseName, func(p *Pool) *string { return &p.Kind }),
	boolean("standby", "false", func(p *Pool) *bool { return &p.Standby }),
	boolean("enforces-capacity", "false", func(p *Pool) *bool { return &p.EnforcesCapacity }),
}

func parseAtLeastOne(value string) (int, error) {
	n, err := parseCount(value)
	if err == nil && n == 0 {
		err = errors.New("is zero")
	}
	return n, err
}

var queueKeys = []key[catalog.Queue]{
	number("host", "", acceptedHost, parseHost, func(q *catalog.Queue) *string { return &q.Host }),
	number("prefix", "", "a path that begins and ends with a slash", parsePrefix, func(q *catalog.Queue) *string { return &q.Prefix }),
	number("pool", "", "the name of a [pool.NAME]", parseName, func(q *catalog.Queue) *string { return &q.Pool }),
	count("priority", "0", func(q *catalog.Queue) *int { return &q.Priority }),
	number("max-attempts", "3", "a whole number of one or more", parseAtLeastOne, func(q *catalog.Queue) *int { return &q.MaxAttempts }),
	rate("stretch", "1.6", func(q *catalog.Queue) *float64 { return &q.Stretch }),
	duration("allowance", "600ms", func(q *catalog.Queue) *time.Duration { return &q.Allowance }),
	boolean("open", "false", func(q *catalog.Queue) *bool { return &q.Open }),
}

const acceptedHost = "a host name as in the header Host"

func parseHost(value string) (string, error) {
	if strings.ContainsAny(value, " /") {
		return "", fmt.Errorf("%q is not a host name", value)
	}
	return value, nil
}

var accountKeys = []key[catalog.Account]{
	number("keys", "", "one or more keys, joined by commas", parseKeys, func(a *catalog.Account) *[]string { return &a.Keys }),
	count("jobs-per-second", "60", func(a *catalog.Account) *int { return &a.GuaranteedJobsPerSecond }),
	number("cores", "0", acceptedNumber, parseMillicores, func(a *catalog.Account) *int { return &a.Limit.CPU }),
	count("memory", "0", func(a *catalog.Account) *int { return &a.Limit.Memory }),
	count("accelerators", "0", func(a *catalog.Account) *int { return &a.Limit.Accelerators }),
}

func parseKeys(value string) ([]string, error) { return parseList(value), nil }
