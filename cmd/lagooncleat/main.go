// Command lagooncleat runs the entry and control hosts of the query tier and provides the
// operators' tools.
//
// # Usage
//
//	lagooncleat demo --once
//	lagooncleat serve --settings FILE
//	lagooncleat control-member replace OLD NEW
//	lagooncleat help
package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/commander"
)

func main() {
	c := subcommands.NewCommander(flag.CommandLine, filepath.Base(os.Args[0]))
	commander.Register(c, commander.Streams{Output: os.Stdout, Errors: os.Stderr})
	flag.Parse()
	os.Exit(int(c.Execute(context.Background())))
}
