package command

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/operator"
	"egretdrum.example/wait"
)

const (
	// maxSubmitAttempts limits the attempts to submit a change whose outcome is unknown. All
	// attempts carry the same change ID, so the change is applied at most once.
	maxSubmitAttempts = 3
	submitRetryDelay  = 200 * time.Millisecond
	lagPollInterval   = 200 * time.Millisecond
)

// proposal is a change before it is submitted. A nil value removes the object. The cautions
// are the effects that the operator has to confirm: interrupted or stopped work, and lowered
// limits.
type proposal struct {
	action, kind, name string
	value              any
	cautions           []string
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "why the change is made; recorded in the audit trail"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check the change and print the difference, without applying it"},
		&cli.BoolFlag{Name: "yes", Usage: "do not ask for confirmation"},
		&cli.DurationFlag{Name: "wait", Usage: "wait at most `DURATION` until the change is in force on all entry hosts"},
	}
}

// submission is the printed form of the response to a change.
type submission struct {
	Version  uint64         `json:"version,omitempty"`
	Lagging  []string       `json:"behind,omitempty"`
	Secret   string         `json:"secret,omitempty"`
	DryRun   bool           `json:"dry-run,omitempty"`
	NoChange bool           `json:"no-change,omitempty"`
	Cautions []string       `json:"cautions,omitempty"`
	Warnings []string       `json:"warnings,omitempty"`
	Change   *change.Change `json:"change,omitempty"`
}

// propose checks a change, asks for confirmation and submits it. The secret is shown only if
// the change is accepted.
func (op *operation) propose(ctx context.Context, p proposal, secret string) error {
	c, err := op.buildChange(p)
	if err != nil {
		return err
	}
	return op.proposeChange(ctx, c, p.cautions, secret)
}

// proposeChange checks a prepared change, asks for confirmation and submits it.
func (op *operation) proposeChange(ctx context.Context, c change.Change, cautions []string, secret string) error {
	if bytes.Equal(c.Before, c.After) {
		return op.report(submission{NoChange: true}, "nothing to change")
	}
	next, err := op.cfg.Apply(c)
	if err != nil {
		return err
	}
	existing := op.cfg.Warnings()
	warnings := slices.DeleteFunc(next.Warnings(), func(w string) bool { return slices.Contains(existing, w) })
	preview := difference(c) + prefixLines("caution: ", cautions) + prefixLines("warning: ", warnings)
	if op.cmd.Bool("dry-run") {
		return op.report(submission{DryRun: true, Cautions: cautions, Warnings: warnings, Change: &c}, strings.TrimSuffix(preview, "\n"))
	}
	if err := op.confirm(cautions, preview); err != nil {
		return err
	}
	version, lagging, err := op.submit(ctx, c)
	if err != nil {
		return err
	}
	s := submission{Version: version, Lagging: lagging, Secret: secret, Warnings: warnings}
	_, _ = fmt.Fprintf(op.stderr(), "%saccepted as version %d%s\n", prefixLines("warning: ", warnings), version, laggingText(lagging))
	if err := op.report(s, secret); err != nil {
		return err
	}
	return op.wait(ctx, version)
}

func (op *operation) buildChange(p proposal) (change.Change, error) {
	c := change.Change{
		ID: rand.Text(), Version: op.cfg.Version, Operator: operatorName(), Reason: op.cmd.String("reason"),
		Action: p.action, Kind: p.kind, Name: p.name, Forced: op.cmd.Bool("force"),
	}
	var err error
	if c.Before, err = op.cfg.Object(p.kind, p.name); err != nil || p.value == nil {
		return c, err
	}
	c.After, err = json.Marshal(p.value)
	return c, err
}

// report prints the submission as JSON, or the text if it is not empty.
func (op *operation) report(s submission, text string) error {
	if !op.isJSON() && text == "" {
		return nil
	}
	return op.show(s, [][]string{{text}})
}

func (op *operation) confirm(cautions []string, preview string) error {
	if len(cautions) == 0 || op.cmd.Bool("yes") {
		return nil
	}
	_, _ = fmt.Fprintf(op.stderr(), "%smake this change? [y/N] ", preview)
	answer, err := bufio.NewReader(op.cmd.Root().Reader).ReadString('\n')
	if err != nil {
		_, _ = fmt.Fprintln(op.stderr())
	}
	switch strings.ToLower(strings.TrimSpace(answer)) {
	case "y", "yes":
		return nil
	default:
		return cli.Exit("not confirmed, nothing changed; --yes confirms without a question", exitUnconfirmed)
	}
}

func (op *operation) submit(ctx context.Context, c change.Change) (version uint64, lagging []string, err error) {
	for attempt := range maxSubmitAttempts {
		if attempt > 0 && !wait.For(ctx, submitRetryDelay) {
			break
		}
		version, lagging, err = operator.Submit(ctx, op.api, c)
		if !isOutcomeUnknown(err) {
			return version, lagging, err
		}
	}
	return 0, nil, cli.Exit(fmt.Sprintf("%v\nthe change may be in force; look for change id %s in: egretdrum audit --output json", err, c.ID), exitUnavailable)
}

// wait returns when all entry hosts have the version. After the time limit it returns an
// error that names the lagging hosts.
func (op *operation) wait(ctx context.Context, version uint64) error {
	limit := op.cmd.Duration("wait")
	if limit <= 0 {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		// The time limit applies to the waits between calls and not to the calls, so that there
		// is always a response to show.
		lagging, err := operator.LaggingHosts(ctx, op.api, version)
		if err == nil && len(lagging) == 0 {
			_, err := fmt.Fprintf(op.stderr(), "no entry host is behind version %d\n", version)
			return err
		}
		if wait.For(waitCtx, lagPollInterval) {
			continue
		}
		if err != nil {
			return cli.Exit(fmt.Sprintf("version %d is accepted; the hosts that are behind are not known: %v", version, err), exitNotInForce)
		}
		return cli.Exit(fmt.Sprintf("version %d is accepted but not in force everywhere%s", version, laggingText(lagging)), exitNotInForce)
	}
}

func laggingText(lagging []string) string {
	if len(lagging) == 0 {
		return ""
	}
	return "; hosts behind: " + strings.Join(lagging, ", ")
}

func prefixLines(prefix string, s []string) string {
	var b strings.Builder
	for _, line := range s {
		b.WriteString(prefix + line + "\n")
	}
	return b.String()
}

// operatorName returns the author for the audit trail. The environment variable names the
// person who uses a shared account or a script.
func operatorName() string {
	if name := os.Getenv(operatorEnv); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
