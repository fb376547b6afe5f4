// Skylarkdeal is a database proxy with session consistency.
package main

import (
	"os"

	"skylarkdeal/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
