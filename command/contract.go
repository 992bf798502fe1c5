package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/contract"
)

func contractCommand() *cli.Command {
	return group(
		"contract", "manage contracts of client accounts",
		subcommand{name: "list", usage: "list all contracts", run: listContracts},
		subcommand{name: "show", usage: "show one contract", args: "TEAM", completeKind: change.KindContract, run: showContract},
		subcommand{
			name: "set", usage: "create a contract, or set its share and upper limit", args: "SIDE/TEAM", completeKind: change.KindContract, makesChange: true,
			flags: []cli.Flag{
				&cli.StringFlag{Name: "share", Usage: "share of the fleet when it is full: " + contract.ShareAccepted},
				&cli.Int64Flag{Name: "share-millionths", Usage: "share of the fleet when it is full, in millionths"},
				&cli.IntFlag{Name: "upper-limit", Usage: "maximum number of requests that run at the same time"},
			},
			run: setContract,
		},
		subcommand{name: "remove", usage: "remove a contract and all its keys", args: "TEAM", completeKind: change.KindContract, makesChange: true, run: removeContract},
	)
}

// contractView is the printed form of a contract, without the hashes of its keys.
type contractView struct {
	Team  string   `json:"team"`
	Share string   `json:"share"`
	Limit int      `json:"upper-limit"`
	Keys  []string `json:"key-ids"`
}

func newContractView(c contract.Contract) contractView {
	v := contractView{Team: c.Team, Share: contract.FormatShare(c.Share), Limit: c.Limit, Keys: []string{}}
	for _, k := range c.Keys {
		v.Keys = append(v.Keys, k.ID)
	}
	return v
}

func (v contractView) row() []string {
	return []string{v.Team, v.Share, strconv.Itoa(v.Limit), strconv.Itoa(len(v.Keys))}
}

var contractHeader = []string{"TEAM", "SHARE", "UPPER-LIMIT", "KEYS"}

func listContracts(_ context.Context, op *operation) error {
	views, rows := []contractView{}, [][]string{contractHeader}
	for _, name := range op.cfg.Names(change.KindContract) {
		v := newContractView(op.cfg.Contracts[name])
		views, rows = append(views, v), append(rows, v.row())
	}
	return op.show(views, rows)
}

func showContract(_ context.Context, op *operation) error {
	c, err := op.contract()
	if err != nil {
		return err
	}
	v := newContractView(c)
	return op.show(v, [][]string{contractHeader, v.row()})
}

// contract returns the contract named by the first argument.
func (op *operation) contract() (contract.Contract, error) {
	name, err := op.resolve(change.KindContract, op.arg(0))
	return op.cfg.Contracts[name], err
}

func setContract(ctx context.Context, op *operation) error {
	name, err := op.nameToSet(change.KindContract)
	if err != nil {
		return err
	}
	old, exists := op.cfg.Contracts[name]
	c := old
	c.Team = name
	if op.cmd.IsSet("share-millionths") {
		c.Share = op.cmd.Int64("share-millionths")
	}
	if op.cmd.IsSet("share") {
		if c.Share, err = contract.ParseShare(op.cmd.String("share")); err != nil {
			return err
		}
	}
	if op.cmd.IsSet("upper-limit") {
		c.Limit = op.cmd.Int("upper-limit")
	}
	p := proposal{action: "set-contract", kind: change.KindContract, name: name, value: c}
	if exists && c.Limit < old.Limit {
		p.cautions = append(p.cautions, fmt.Sprintf("lowers the upper limit from %d to %d", old.Limit, c.Limit))
	}
	if exists && c.Share < old.Share {
		p.cautions = append(p.cautions, fmt.Sprintf("lowers the share from %s to %s", contract.FormatShare(old.Share), contract.FormatShare(c.Share)))
	}
	return op.propose(ctx, p, "")
}

func removeContract(ctx context.Context, op *operation) error {
	c, err := op.contract()
	if err != nil {
		return err
	}
	return op.propose(ctx, proposal{
		action: "remove-contract", kind: change.KindContract, name: c.Team,
		cautions: []string{fmt.Sprintf("refuses all further requests of the team; %d keys end", len(c.Keys))},
	}, "")
}
