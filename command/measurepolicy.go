package command

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"egretdrum.example/measure"
)

func measurePolicyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "measure buffer cost, moves, late work and distance to share compared with baselines and the previous result",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			previous, err := measure.Previous()
			if err != nil {
				return err
			}
			current, err := measure.Policies(ctx)
			if err != nil {
				return err
			}
			op := &operation{cmd: cmd}
			if op.isJSON() {
				return op.show(policyView{current, current.Aims(), previous}, nil)
			}
			return showPolicies(op, current, previous)
		},
	}
}

// policyView is the JSON output. It starts with the fields of the stored result, so that the
// output can replace the file of the stored result.
type policyView struct {
	measure.Result
	Aims     []measure.Criterion `json:"aims"`
	Previous measure.Result      `json:"previous"`
}

func showPolicies(op *operation, current, previous measure.Result) error {
	rows := [][]string{{"SHAPE", "DEMAND", "POLICY", "BUFFER", "(BEFORE)", "FLOOR", "MOVES", "(BEFORE)", "LATE", "(BEFORE)", "WAIT-MS", "(BEFORE)", "REQUESTS"}}
	for _, r := range current.Policies {
		buffer, moves, late, wait := "-", "-", "-", "-"
		if b := previous.Find(r); b != nil {
			buffer, moves, late, wait = strconv.Itoa(b.Buffer), strconv.Itoa(b.Moves), strconv.Itoa(b.Late), strconv.Itoa(b.Wait)
		}
		rows = append(rows, []string{
			r.Shape, r.Demand, r.Policy, strconv.Itoa(r.Buffer), buffer, strconv.Itoa(r.Floor),
			strconv.Itoa(r.Moves), moves, strconv.Itoa(r.Late), late, strconv.Itoa(r.Wait), wait, strconv.Itoa(r.Requests),
		})
	}
	distances := [][]string{{"SHAPE", "ORDER", "DISTANCE-TO-SHARE"}}
	for _, d := range current.Distances {
		distances = append(distances, []string{d.Shape, d.Order, fmt.Sprintf("%.2f%%", float64(d.Points)/100)})
	}
	aims := [][]string{{"SHAPE", "DEMAND", "AIM", "VALUE", "LIMIT", "MET"}}
	for _, a := range current.Aims() {
		aims = append(aims, []string{a.Shape, a.Demand, a.Aim, decimal(a.Value), decimal(a.Limit), strconv.FormatBool(a.Met)})
	}
	for i, table := range [][][]string{rows, distances, aims} {
		if i > 0 {
			_, _ = io.WriteString(op.stdout(), "\n")
		}
		if err := op.show(nil, table); err != nil {
			return err
		}
	}
	return nil
}

// decimal formats a number with as many decimals as it needs.
func decimal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
