// Command rattanctl validates, promotes and rolls back environment documents
// and shows the state of a deployment.
package main

import (
	"os"

	"github.com/rattancove/rattancove/internal/program"
)

func main() { os.Exit(program.Run(newCommand(os.Stdin, os.Stdout, os.Stderr))) }
