package command

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"egretdrum.example/timeline"
)

func explainJobCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-job",
		Usage:     "show what the logs of entry hosts say about a job, in chronological order",
		ArgsUsage: "ID [LOG...]; without LOG, the log is read from standard input",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return cli.Exit("explain-job needs the ID of a job", exitUsage)
			}
			c := timeline.NewCollector(cmd.Args().First())
			files := cmd.Args().Tail()
			if len(files) == 0 {
				if err := c.Read("stdin", cmd.Root().Reader); err != nil {
					return err
				}
			}
			for _, name := range files {
				if err := readLog(c, name); err != nil {
					return err
				}
			}
			return printTimeline(cmd.Root().Writer, c.Timeline())
		},
	}
}

func readLog(c *timeline.Collector, name string) error {
	return readFile(name, func(log io.Reader) error { return c.Read(filepath.Base(name), log) })
}

func printTimeline(w io.Writer, t *timeline.Timeline) error {
	for _, l := range t.Lines {
		if _, err := fmt.Fprintf(w, "%s  %s\n", l.Source, l.Text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, t.Summary())
	return err
}
