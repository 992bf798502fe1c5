package command

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/change"
	"egretdrum.example/fleet"
	"egretdrum.example/operator"
	"egretdrum.example/wave"
)

const windowAccepted = "FROM,TO with FROM a time such as 2026-01-31T08:00:00Z or now, and TO a time or a duration after FROM such as 6h"

func waveCommand() *cli.Command {
	return group(
		"wave", "maintain many workers within a window",
		subcommand{
			name: "start", usage: "drain, reboot and return workers at the rate that the budgets allow", args: "NAME", makesChange: true,
			flags: []cli.Flag{
				&cli.StringFlag{Name: "pool", Usage: "maintain the workers of this pool"},
				&cli.StringFlag{Name: "workers", Usage: "maintain the workers named in `FILE`, one per line"},
				&cli.StringFlag{Name: "window", Required: true, Usage: windowAccepted},
			},
			run: startWave,
		},
		subcommand{name: "list", usage: "list all waves with their progress", run: listWaves},
		subcommand{name: "show", usage: "show the progress of a wave and the reason for each worker not done", args: "NAME", completeKind: change.KindWave, run: showWave},
		waveStateSubcommand("pause", "stop draining workers; those already drained finish", fleet.WavePaused),
		waveStateSubcommand("resume", "continue to drain workers", fleet.WaveRunning),
		waveStateSubcommand("abort", "end a wave; workers that are not rebooted yet are returned", fleet.WaveAborted),
	)
}

func waveStateSubcommand(name, usage string, state fleet.WaveState) subcommand {
	return subcommand{
		name: name, usage: usage, args: "NAME", completeKind: change.KindWave, makesChange: true,
		run: func(ctx context.Context, op *operation) error {
			cause := name + " by " + operatorName()
			if reason := op.cmd.String("reason"); reason != "" {
				cause += ": " + reason
			}
			c, err := wave.Set(op.cfg, time.Now().UTC(), rand.Text(), op.arg(0), state, cause)
			if err != nil {
				return err
			}
			return op.proposePrepared(ctx, c)
		},
	}
}

func startWave(ctx context.Context, op *operation) error {
	pool, file := op.cmd.String("pool"), op.cmd.String("workers")
	if (pool == "") == (file == "") {
		return cli.Exit("wave start needs one of --pool and --workers", exitUsage)
	}
	now := time.Now().UTC().Truncate(time.Second)
	w := fleet.Wave{ID: rand.Text(), Reason: op.cmd.String("reason")}
	var err error
	if w.From, w.To, err = parseWindow(op.cmd.String("window"), now); err != nil {
		return err
	}
	if pool != "" {
		w.Pool, err = op.resolve(change.KindPool, pool)
	} else {
		w.Workers, err = readNames(file)
	}
	if err != nil {
		return err
	}
	c, err := wave.Start(op.cfg, now, op.arg(0), w)
	if err != nil {
		return err
	}
	return op.proposePrepared(ctx, c, "drains and reboots workers, as many at a time as the budgets allow")
}

func parseWindow(v string, now time.Time) (from, to time.Time, err error) {
	usageErr := cli.Exit(fmt.Sprintf("--window is %q; accepted: %s", v, windowAccepted), exitUsage)
	start, end, ok := strings.Cut(v, ",")
	if !ok {
		return from, to, usageErr
	}
	from = now
	if start != "now" {
		if from, err = time.Parse(time.RFC3339, start); err != nil {
			return from, to, usageErr
		}
	}
	if d, err := time.ParseDuration(end); err == nil {
		return from, from.Add(d), nil
	}
	if to, err = time.Parse(time.RFC3339, end); err != nil {
		return from, to, usageErr
	}
	return from, to, nil
}

// readNames reads one name per line and skips empty lines and lines that begin with #.
func readNames(file string) ([]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, cli.Exit(fmt.Sprintf("--workers: %v", err), exitUsage)
	}
	defer func() { _ = f.Close() }()
	var names []string
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		if name := strings.TrimSpace(scanner.Text()); name != "" && !strings.HasPrefix(name, "#") {
			names = append(names, name)
		}
	}
	return names, scanner.Err()
}

// waveView is the printed form of a wave.
type waveView struct {
	Name string `json:"wave"`
	fleet.Wave
	Progress wave.Progress `json:"progress"`
}

var waveHeader = []string{"WAVE", "STATE", "DONE", "OUT", "QUARANTINED", "TOTAL", "FROM", "TO", "FINISH"}

func (v waveView) row() []string {
	finish := "-"
	if !v.Progress.Finish.IsZero() {
		finish = v.Progress.Finish.Format(time.RFC3339)
	}
	p := v.Progress
	return []string{
		v.Name, string(v.State), strconv.Itoa(p.Done), strconv.Itoa(p.Out), strconv.Itoa(p.Quarantined), strconv.Itoa(p.Total),
		v.From.Format(time.RFC3339), v.To.Format(time.RFC3339), finish,
	}
}

func listWaves(ctx context.Context, op *operation) error {
	progress, err := operator.Waves(ctx, op.api)
	if err != nil {
		return err
	}
	views, rows := []waveView{}, [][]string{waveHeader}
	for _, name := range op.cfg.Names(change.KindWave) {
		v := waveView{name, op.cfg.Waves[name], progress[name]}
		views, rows = append(views, v), append(rows, v.row())
	}
	return op.show(views, rows)
}

func showWave(ctx context.Context, op *operation) error {
	name, err := op.resolve(change.KindWave, op.arg(0))
	if err != nil {
		return err
	}
	progress, err := operator.Waves(ctx, op.api)
	if err != nil {
		return err
	}
	v := waveView{name, op.cfg.Waves[name], progress[name]}
	if op.isJSON() {
		return op.show(v, nil)
	}
	if err := op.show(nil, [][]string{waveHeader, v.row()}); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(op.stdout(), "state: %s since %s: %s\nfinish: %s\n", v.State, v.At.Format(time.RFC3339), v.Cause, v.Progress.Note)
	if len(v.Progress.Open) == 0 {
		return nil
	}
	rows := [][]string{{"NOT-DONE", "STEP", "REASON"}}
	for _, o := range v.Progress.Open {
		rows = append(rows, []string{o.Worker, o.Step, o.Reason})
	}
	return op.show(nil, rows)
}
