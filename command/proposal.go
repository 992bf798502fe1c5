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
	// submitTries bounds the repetitions of a change without a clear answer. They carry
	// the same change id, so the change is applied once at most.
	submitTries   = 3
	submitPause   = 200 * time.Millisecond
	behindRefresh = 200 * time.Millisecond
)

// proposal is a change before it is sent. A nil value removes the object. Cautions are
// the effects that the operator has to confirm: work that is interrupted or stopped, and limits
// that are lowered.
type proposal struct {
	action, kind, name string
	value              any
	cautions           []string
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "why the change is made; kept in the audit trail"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check the change and print the difference, without making it"},
		&cli.BoolFlag{Name: "yes", Usage: "do not ask for confirmation"},
		&cli.DurationFlag{Name: "wait", Usage: "wait at most `DURATION` until the change is in force on all entry hosts"},
	}
}

// submission is the answer to a change as it is printed.
type submission struct {
	Version  uint64         `json:"version,omitempty"`
	Behind   []string       `json:"behind,omitempty"`
	Secret   string         `json:"secret,omitempty"`
	DryRun   bool           `json:"dry-run,omitempty"`
	NoChange bool           `json:"no-change,omitempty"`
	Cautions []string       `json:"cautions,omitempty"`
	Warnings []string       `json:"warnings,omitempty"`
	Change   *change.Change `json:"change,omitempty"`
}

// propose checks, confirms and sends a change. Secret is shown only if it is accepted.
func (op *operation) propose(ctx context.Context, p proposal, secret string) error {
	c, err := op.change(p)
	if err != nil {
		return err
	}
	return op.proposeChange(ctx, c, p.cautions, secret)
}

// proposeChange checks, confirms and sends a change that is already made.
func (op *operation) proposeChange(ctx context.Context, c change.Change, cautions []string, secret string) error {
	if bytes.Equal(c.Before, c.After) {
		return op.report(submission{NoChange: true}, "nothing to change")
	}
	next, err := op.cfg.Apply(c)
	if err != nil {
		return err
	}
	known := op.cfg.Warnings()
	warnings := slices.DeleteFunc(next.Warnings(), func(w string) bool { return slices.Contains(known, w) })
	preview := difference(c) + lines("caution: ", cautions) + lines("warning: ", warnings)
	if op.cmd.Bool("dry-run") {
		return op.report(submission{DryRun: true, Cautions: cautions, Warnings: warnings, Change: &c}, strings.TrimSuffix(preview, "\n"))
	}
	if err := op.confirm(cautions, preview); err != nil {
		return err
	}
	version, behind, err := op.submit(ctx, c)
	if err != nil {
		return err
	}
	s := submission{Version: version, Behind: behind, Secret: secret, Warnings: warnings}
	_, _ = fmt.Fprintf(op.stderr(), "%saccepted as version %d%s\n", lines("warning: ", warnings), version, behindText(behind))
	if err := op.report(s, secret); err != nil {
		return err
	}
	return op.wait(ctx, version)
}

func (op *operation) change(p proposal) (change.Change, error) {
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

// report prints the answer: JSON always, text only if there is any.
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

func (op *operation) submit(ctx context.Context, c change.Change) (version uint64, behind []string, err error) {
	for try := range submitTries {
		if try > 0 && !wait.For(ctx, submitPause) {
			break
		}
		version, behind, err = operator.Submit(ctx, op.api, c)
		if !isUnclear(err) {
			return version, behind, err
		}
	}
	return 0, nil, cli.Exit(fmt.Sprintf("%v\nthe change may be in force; look for change id %s in: egretdrum audit --output json", err, c.ID), exitUnavailable)
}

// wait returns when all entry hosts have the version, or names those that are behind.
func (op *operation) wait(ctx context.Context, version uint64) error {
	limit := op.cmd.Duration("wait")
	if limit <= 0 {
		return nil
	}
	waiting, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		// The limit ends the pauses and not a call, so that there is always an answer to show.
		behind, err := operator.Behind(ctx, op.api, version)
		if err == nil && len(behind) == 0 {
			_, err := fmt.Fprintf(op.stderr(), "no entry host is behind version %d\n", version)
			return err
		}
		if wait.For(waiting, behindRefresh) {
			continue
		}
		if err != nil {
			return cli.Exit(fmt.Sprintf("version %d is accepted; the hosts that are behind are not known: %v", version, err), exitBehind)
		}
		return cli.Exit(fmt.Sprintf("version %d is accepted but not in force everywhere%s", version, behindText(behind)), exitBehind)
	}
}

func behindText(behind []string) string {
	if len(behind) == 0 {
		return ""
	}
	return "; hosts behind: " + strings.Join(behind, ", ")
}

func lines(prefix string, s []string) string {
	var b strings.Builder
	for _, line := range s {
		b.WriteString(prefix + line + "\n")
	}
	return b.String()
}

// operatorName is the author in the audit trail: the environment names the person behind
// a shared account or a script.
func operatorName() string {
	if name := os.Getenv(operatorEnv); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
