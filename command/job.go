package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"egretdrum.example/jobclient"
	"egretdrum.example/jobfile"
)

// jobCallTimeout exceeds the time that an entry host needs to answer when the store is slow.
const jobCallTimeout = 10 * time.Second

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, show, cancel and list jobs",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: "http://127.0.0.1:7002", Sources: cli.EnvVars("EGRETDRUM_SERVER"), Usage: "URL of an entry host's interface for jobs"},
			&cli.StringFlag{Name: "queue", Sources: cli.EnvVars("EGRETDRUM_QUEUE"), Required: true, Usage: "name of the queue"},
			&cli.StringFlag{Name: "key-file", Usage: "file with the key of an account"},
		},
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job, read from FILE or from standard input", ArgsUsage: "[FILE]",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "id", Usage: "16 hexadecimal digits; submitting the same ID again creates no second job"}},
				Action: submitJob,
			},
			{Name: "show", Usage: "print the state of a job", ArgsUsage: "ID", Action: showJob},
			{Name: "cancel", Usage: "cancel a job that is not done", ArgsUsage: "ID", Action: cancelJob},
			{Name: "list", Usage: "print the jobs of the account in the queue", Action: listJobs},
		},
	}
}

func jobClient(cmd *cli.Command) (*jobclient.Client, error) {
	c := &jobclient.Client{Server: strings.TrimSuffix(cmd.String("server"), "/"), Queue: cmd.String("queue"), HTTP: &http.Client{Timeout: jobCallTimeout}}
	if name := cmd.String("key-file"); name != "" {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		c.Key = strings.TrimSpace(string(b))
	}
	return c, nil
}

func submitJob(ctx context.Context, cmd *cli.Command) error {
	c, err := jobClient(cmd)
	if err != nil {
		return err
	}
	description, err := readJobDescription(cmd)
	if err != nil {
		return err
	}
	id := cmd.String("id")
	if id == "" {
		id = newJobID()
	}
	// An invalid job description is reported without a call to the server.
	if _, err := jobfile.Decode(id, description); err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	if err := c.Submit(ctx, id, description); err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, id)
	return err
}

func newJobID() string {
	var b [8]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func readJobDescription(cmd *cli.Command) ([]byte, error) {
	if cmd.Args().Len() == 0 {
		return io.ReadAll(cmd.Root().Reader)
	}
	return os.ReadFile(cmd.Args().First())
}

// jobClientAndID returns a client and the job ID, which is the only argument of the command.
func jobClientAndID(cmd *cli.Command) (*jobclient.Client, string, error) {
	if cmd.Args().Len() != 1 {
		return nil, "", cli.Exit(cmd.Name+" needs the ID of a job", exitUsage)
	}
	c, err := jobClient(cmd)
	return c, cmd.Args().First(), err
}

func showJob(ctx context.Context, cmd *cli.Command) error {
	c, id, err := jobClientAndID(cmd)
	if err != nil {
		return err
	}
	state, err := c.State(ctx, id)
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, state)
	return err
}

func cancelJob(ctx context.Context, cmd *cli.Command) error {
	c, id, err := jobClientAndID(cmd)
	if err != nil {
		return err
	}
	if err := c.Cancel(ctx, id); err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	return nil
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	c, err := jobClient(cmd)
	if err != nil {
		return err
	}
	jobs, err := c.List(ctx)
	if err != nil {
		return err
	}
	for _, j := range jobs {
		if _, err := fmt.Fprintf(cmd.Root().Writer, "%s  %s\n", j.ID, j.State); err != nil {
			return err
		}
	}
	return nil
}
