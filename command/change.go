package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/contract"
	"egretdrum.example/fleet"
	"egretdrum.example/operator"
	"egretdrum.example/teamkey"
)

// Exit codes.
const (
	exitRefused = 1
	exitUsage   = 2
)

func changeFlags() []cli.Flag {
	return []cli.Flag{
		apiFlag(),
		&cli.StringFlag{Name: "reason", Usage: "why the change is made; kept in the audit trail"},
	}
}

func apiFlag() cli.Flag {
	return &cli.StringFlag{Name: "api", Value: "http://127.0.0.1:8081", Usage: "operator address of any entry host"}
}

func contractCommand() *cli.Command {
	return &cli.Command{
		Name:  "contract",
		Usage: "manage contracts of client accounts",
		Commands: []*cli.Command{{
			Name:      "set",
			Usage:     "set share and upper limit",
			ArgsUsage: "SIDE/TEAM",
			Flags: append(changeFlags(),
				&cli.Int64Flag{Name: "share-millionths", Usage: "share of the fleet when it is full"},
				&cli.IntFlag{Name: "upper-limit", Usage: "most requests running at the same time"}),
			Action: setContract,
		}},
	}
}

func setContract(ctx context.Context, cmd *cli.Command) error {
	cfg, err := operator.Fetch(ctx, cmd.String("api"))
	if err != nil {
		return err
	}
	team := cmd.Args().First()
	c := cfg.Contracts[team]
	c.Team, c.Share, c.Limit = team, cmd.Int64("share-millionths"), cmd.Int("upper-limit")
	return submit(ctx, cmd, cfg, "set-contract", change.KindContract, team, c)
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "give and withdraw team keys",
		Commands: []*cli.Command{
			{Name: "give", Usage: "make a key and show it once", ArgsUsage: "SIDE/TEAM", Flags: changeFlags(), Action: giveKey},
			{Name: "withdraw", Usage: "end a key", ArgsUsage: "SIDE/TEAM KEY-ID", Flags: changeFlags(), Action: withdrawKey},
		},
	}
}

func giveKey(ctx context.Context, cmd *cli.Command) error {
	cfg, c, err := contractOf(ctx, cmd)
	if err != nil {
		return err
	}
	secret, key, err := teamkey.Generate(rand.Reader, time.Now())
	if err != nil {
		return err
	}
	if err := submit(ctx, cmd, cfg, "give-key", change.KindContract, c.Team, c.WithKey(key)); err != nil {
		return err
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, secret)
	return err
}

func withdrawKey(ctx context.Context, cmd *cli.Command) error {
	cfg, c, err := contractOf(ctx, cmd)
	if err != nil {
		return err
	}
	next, ok := c.WithoutKey(cmd.Args().Get(1))
	if !ok {
		return cli.Exit(fmt.Sprintf("team %s has no key %q", c.Team, cmd.Args().Get(1)), exitRefused)
	}
	return submit(ctx, cmd, cfg, "withdraw-key", change.KindContract, c.Team, next)
}

func contractOf(ctx context.Context, cmd *cli.Command) (*fleet.Config, contract.Contract, error) {
	cfg, err := operator.Fetch(ctx, cmd.String("api"))
	if err != nil {
		return nil, contract.Contract{}, err
	}
	team, err := cfg.Resolve(change.KindContract, cmd.Args().First())
	if err != nil {
		return nil, contract.Contract{}, err
	}
	return cfg, cfg.Contracts[team], nil
}

func submit(ctx context.Context, cmd *cli.Command, cfg *fleet.Config, action, kind, name string, after any) error {
	before, err := cfg.Object(kind, name)
	if err != nil {
		return err
	}
	b, err := json.Marshal(after)
	if err != nil {
		return err
	}
	version, behind, err := operator.Submit(ctx, cmd.String("api"), change.Change{
		ID: rand.Text(), Operator: operatorName(), Reason: cmd.String("reason"),
		Action: action, Kind: kind, Name: name, Before: before, After: b,
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().ErrWriter, "accepted as version %d; hosts behind: %v\n", version, behind)
	return err
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "show the audit trail of changes",
		Flags: []cli.Flag{apiFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			trail, err := operator.Audit(ctx, cmd.String("api"))
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintln(t, "VERSION\tAT\tOPERATOR\tACTION\tOBJECT\tREASON")
			for _, c := range trail {
				_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s %s\t%s\n", c.Version, c.At.Format(time.RFC3339), c.Operator, c.Action, c.Kind, c.Name, c.Reason)
			}
			return t.Flush()
		},
	}
}
