// Command egretdrum is the entry host, its operator commands and its demo in one binary.
package main

import (
	"context"
	"fmt"
	"os"

	"egretdrum.example/command"
)

func main() {
	if err := command.App().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
