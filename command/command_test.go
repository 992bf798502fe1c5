package command

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/operator"
	"egretdrum.example/platformfake"
	"egretdrum.example/rollout"
	"egretdrum.example/store"
)

// testEnv runs command lines against an operator API on an empty fake platform.
type testEnv struct {
	platform      *platformfake.Platform
	configManager *rollout.ConfigManager
	api           *operator.API
	keyID         string
	stdin         string
	// afterCommand is called after each command of a documentation page.
	afterCommand func()
}

func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{platform: platformfake.New(), afterCommand: func() {}}
	kv := httptest.NewServer(e.platform.Handler())
	t.Cleanup(kv.Close)
	e.configManager = rollout.New(store.New(kv.URL, time.Minute))
	e.api = operator.New(e.configManager)
	server := httptest.NewServer(e.api.Handler())
	t.Cleanup(server.Close)
	t.Setenv(apiEnv, server.URL)
	t.Setenv(operatorEnv, "aigerim")
	return e
}

var (
	argumentPattern  = regexp.MustCompile(`"[^"]*"|\S+`)
	secretPattern    = regexp.MustCompile(`egk\.([A-Za-z0-9_-]+)\.[A-Za-z0-9_-]+`)
	changeIDPattern  = regexp.MustCompile(`\b[A-Z2-7]{26}\b`)
	timestampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`)
)

// run executes one command line and returns its exit code and its output. Placeholders
// replace the values that differ from run to run.
func (e *testEnv) run(line string) (int, string) {
	line = strings.ReplaceAll(line, "<key-id>", e.keyID)
	var args []string
	for _, a := range argumentPattern.FindAllString(line, -1) {
		args = append(args, strings.Trim(a, `"`))
	}
	var out bytes.Buffer
	app := App()
	app.Writer, app.ErrWriter, app.Reader = &out, &out, strings.NewReader(e.stdin)
	app.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := app.Run(context.Background(), args)
	code := 0
	if err != nil {
		fmt.Fprintln(&out, err)
		code = 1
		var exitCoder cli.ExitCoder
		if errors.As(err, &exitCoder) {
			code = exitCoder.ExitCode()
		}
	}
	text := out.String()
	if m := secretPattern.FindStringSubmatch(text); m != nil {
		e.keyID = m[1]
	}
	text = secretPattern.ReplaceAllString(text, "egk.<key-id>.<secret>")
	if e.keyID != "" {
		text = strings.ReplaceAll(text, e.keyID, "<key-id>")
	}
	text = changeIDPattern.ReplaceAllString(text, "<id>")
	text = timestampPattern.ReplaceAllString(text, "2026-01-31T08:00:00Z")
	return code, text
}

// accept stores a change that the system makes itself, without an operator.
func (e *testEnv) accept(ctx context.Context, c change.Change) error {
	_, err := e.configManager.Accept(ctx, c)
	return err
}

// expect runs a command line and checks its exit code and a substring of its output.
func (e *testEnv) expect(t *testing.T, line string, code int, substring string) {
	t.Helper()
	got, out := e.run(line)
	qt.Check(t, got, qt.Equals, code, qt.Commentf("%s\n%s", line, out))
	qt.Check(t, out, qt.Contains, substring, qt.Commentf("%s", line))
}

// TestOperatorsPage guards against a page whose commands or outputs are out of date.
func TestOperatorsPage(t *testing.T) { newTestEnv(t).checkPage(t, "operators.md") }

// TestZonesPage guards against commands for availability zones that differ from their page.
func TestZonesPage(t *testing.T) { newTestEnv(t).checkPage(t, "zones.md") }

// checkPage runs the commands of a documentation page in order and compares their outputs
// with those on the page.
func (e *testEnv) checkPage(t *testing.T, name string) {
	file := filepath.Join("..", "docs", name)
	page, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	var want strings.Builder
	inConsole := false
	for line := range strings.Lines(string(page)) {
		command, isCommand := strings.CutPrefix(line, "$ ")
		isFence := strings.HasPrefix(line, "```")
		if isFence {
			inConsole = line == "```console\n"
		}
		if !inConsole || isCommand || isFence {
			want.WriteString(line)
		}
		if inConsole && isCommand {
			code, out := e.run(command)
			e.afterCommand()
			for l := range strings.Lines(out) {
				want.WriteString(strings.TrimRight(l, " \n") + "\n")
			}
			if code != 0 {
				fmt.Fprintf(&want, "(exit code %d)\n", code)
			}
		}
	}
	if os.Getenv("EGRETDRUM_UPDATE_DOCS") != "" {
		qt.Assert(t, os.WriteFile(file, []byte(want.String()), 0o644), qt.IsNil)
		return
	}
	qt.Check(t, strings.Split(string(page), "\n"), qt.DeepEquals, strings.Split(want.String(), "\n"))
}

// TestDeclinedChangeIsNotMade guards against a change that is made although the operator
// answered the confirmation with no or not at all.
func TestDeclinedChangeIsNotMade(t *testing.T) {
	e := newTestEnv(t)
	e.expect(t, "egretdrum contract set a/t --upper-limit 9", 0, "version 1")
	for answer, code := range map[string]int{"no\n": exitUnconfirmed, "": exitUnconfirmed, "yes\n": 0} {
		e.stdin = answer
		e.expect(t, "egretdrum contract set t --upper-limit 8", code, "caution: lowers the upper limit from 9 to 8")
		qt.Check(t, e.configManager.Config().Contracts["a/t"].Limit == 8, qt.Equals, code == 0)
		e.expect(t, "egretdrum contract set t --upper-limit 9", 0, "")
	}
}

// TestConflictExitCode guards against a change that lost a race with another operator and
// is reported as a success or as an invalid value.
func TestConflictExitCode(t *testing.T) {
	e := newTestEnv(t)
	e.expect(t, "egretdrum contract set a/t --upper-limit 9", 0, "version 1")
	before, err := e.configManager.Config().Encode()
	qt.Assert(t, err, qt.IsNil)
	e.expect(t, "egretdrum contract set a/t --upper-limit 10 --reason faster", 0, "version 2")
	// The second operator reads the configuration from an entry host that still has version 1.
	outdated := httptest.NewServer(outdatedConfig{before, e.api.Handler()})
	defer outdated.Close()
	e.expect(t, "egretdrum contract set a/t --upper-limit 11 --api "+outdated.URL, exitConflict, `in version 2 (set-contract, reason "faster")`)
}

// TestUnavailableExitCode guards against a command that reports a refusal or a success
// when no host answered, and against a change that is applied twice after a lost response.
func TestUnavailableExitCode(t *testing.T) {
	e := newTestEnv(t)
	e.platform.LoseWriteResponses(1)
	e.expect(t, "egretdrum pool set a/p", 0, "version 1")
	e.platform.SetDown(true)
	e.expect(t, "egretdrum pool set b/p", exitUnavailable, "look for change id")
	e.expect(t, "egretdrum audit", exitUnavailable, "status 503")
	e.expect(t, "egretdrum pool list --api http://127.0.0.1:1", exitUnavailable, "refused")
}

// TestWaitForEntryHosts guards against --wait returning before the change is in force, and
// against a timeout that does not name the lagging hosts.
func TestWaitForEntryHosts(t *testing.T) {
	e := newTestEnv(t)
	queries := 0
	e.api.LaggingHosts = func(_ context.Context, version uint64) ([]string, error) {
		if queries++; queries < 3 || version != 1 {
			return []string{"entry-2", "entry-7"}, nil
		}
		return nil, nil
	}
	e.expect(t, "egretdrum pool set a/p --wait 1m", 0, "no entry host is behind version 1")
	qt.Check(t, queries, qt.Equals, 3)
	e.expect(t, "egretdrum pool set b/p --wait 1ms", exitNotInForce, "hosts behind: entry-2, entry-7")
	e.api.LaggingHosts = func(context.Context, uint64) ([]string, error) {
		return nil, &rollout.ConfigError{Err: errors.New("no peers")}
	}
	e.expect(t, "egretdrum pool set c/p --wait 50ms", exitNotInForce, "no peers")
}

// TestDryRunShowsNoSecret guards against a dry run that shows a secret which no host accepts.
func TestDryRunShowsNoSecret(t *testing.T) {
	e := newTestEnv(t)
	e.expect(t, "egretdrum contract set a/t --upper-limit 9", 0, "version 1")
	_, out := e.run("egretdrum key give t --dry-run --output json")
	qt.Check(t, out, qt.Contains, `"dry-run": true`)
	qt.Check(t, strings.Contains(out, "egk."), qt.IsFalse)
	qt.Check(t, e.configManager.Config().Version, qt.Equals, uint64(1))
}

// TestCompletionOfNames guards against shell completion that lacks the names in the configuration.
func TestCompletionOfNames(t *testing.T) {
	e := newTestEnv(t)
	e.expect(t, "egretdrum contract set a/t --upper-limit 9", 0, "version 1")
	e.expect(t, "egretdrum contract show --generate-shell-completion", 0, "a/t")
	e.expect(t, "egretdrum pool --generate-shell-completion", 0, "drain")
}

// TestCheckConfig guards against an invalid settings file that passes the check.
func TestCheckConfig(t *testing.T) {
	e := newTestEnv(t)
	file := filepath.Join(t.TempDir(), "entry.ini")
	qt.Assert(t, os.WriteFile(file, []byte("[entry]\nname = A\n"), 0o600), qt.IsNil)
	e.expect(t, "egretdrum check-config "+file, exitRefused, file+`: [entry] name: is "A"; accepted: 1 to 63 characters`)
	e.expect(t, "egretdrum check-config", exitUsage, "needs one FILE")
}

// outdatedConfig answers GET /config with an outdated document.
type outdatedConfig struct {
	document []byte
	next     http.Handler
}

func (o outdatedConfig) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/config" {
		_, _ = w.Write(o.document)
		return
	}
	o.next.ServeHTTP(w, r)
}
