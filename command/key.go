package command

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/teamkey"
)

func keyCommand() *cli.Command {
	return group(
		"key", "create and revoke team keys",
		subcommand{name: "give", usage: "create a key and show its secret once", args: "TEAM", completeKind: change.KindContract, makesChange: true, run: giveKey},
		subcommand{name: "withdraw", usage: "revoke a key", args: "TEAM KEY-ID", completeKind: change.KindContract, makesChange: true, run: withdrawKey},
		subcommand{name: "list", usage: "list the keys of a team", args: "TEAM", completeKind: change.KindContract, run: listKeys},
	)
}

func giveKey(ctx context.Context, op *operation) error {
	c, err := op.contract()
	if err != nil {
		return err
	}
	secret, key, err := teamkey.Generate(rand.Reader, time.Now())
	if err != nil {
		return err
	}
	return op.propose(ctx, proposal{action: "give-key", kind: change.KindContract, name: c.Team, value: c.WithKey(key)}, secret)
}

// withdrawKey asks for no confirmation: it interrupts no running request, and a leaked key
// has to be revoked at once.
func withdrawKey(ctx context.Context, op *operation) error {
	c, err := op.contract()
	if err != nil {
		return err
	}
	next, ok := c.WithoutKey(op.arg(1))
	if !ok {
		return cli.Exit(fmt.Sprintf("team %s has no key %q", c.Team, op.arg(1)), exitRefused)
	}
	return op.propose(ctx, proposal{action: "withdraw-key", kind: change.KindContract, name: c.Team, value: next}, "")
}

// keyView is the printed form of a key, without salt and hash.
type keyView struct {
	ID        string    `json:"id"`
	CreatedAt time.Time `json:"given-at"`
}

func listKeys(_ context.Context, op *operation) error {
	c, err := op.contract()
	if err != nil {
		return err
	}
	views, rows := []keyView{}, [][]string{{"KEY-ID", "GIVEN-AT"}}
	for _, k := range c.Keys {
		views, rows = append(views, keyView{ID: k.ID, CreatedAt: k.CreatedAt}), append(rows, []string{k.ID, k.CreatedAt.Format(time.RFC3339)})
	}
	return op.show(views, rows)
}
