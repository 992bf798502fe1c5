package command

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"egretdrum.example/losses"
)

// defaultListedJobs is the default number of jobs that are listed.
const defaultListedJobs = 20

func explainLossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-losses",
		Usage:     "show from the logs of entry hosts which jobs were late, failed or not accepted, and what they waited for",
		ArgsUsage: "[LOG...]; without LOG, the log is read from standard input",
		Flags:     []cli.Flag{&cli.IntFlag{Name: "jobs", Value: defaultListedJobs, Usage: "list up to `N` jobs by ID"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			r := losses.NewReport()
			files := cmd.Args().Slice()
			if len(files) == 0 {
				if err := r.Read(cmd.Root().Reader); err != nil {
					return err
				}
			}
			for _, name := range files {
				if err := readFile(name, r.Read); err != nil {
					return err
				}
			}
			return r.Write(cmd.Root().Writer, int(cmd.Int("jobs")))
		},
	}
}

// readFile opens a file and passes it to read.
func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return read(f)
}
