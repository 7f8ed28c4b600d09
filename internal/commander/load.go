package commander

import (
	"context"
	"flag"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/internal/experimenter"
	"github.com/lagooncleat/lagooncleat/internal/logger"
)

// defaultRuns is the default number of alternating runs of an experiment.
const defaultRuns = 5

// loadCommand runs a load experiment and prints its report.
type loadCommand struct {
	streams    Streams
	experiment string
	region     string
	logLevel   string
	plotFile   string
	seconds    float64
	options    experimenter.Options
}

func (*loadCommand) Name() string { return "load" }

func (*loadCommand) Synopsis() string { return "run a load experiment with faults" }

func (*loadCommand) Usage() string {
	return `load --experiment NAME [--region hangar|co-operative] [--runs N] [--seconds S]
     [--time-scale F] [--seed N] [--plot FILE.svg] [--log-level LEVEL]
  Runs a region's entry hosts and fake backend servers in this process, sends load and
  prints a table of results. The last line is "NAME: figure F, target T, met" or
  "missed". Some experiments alternate the policy with two baselines, which have
  neither admission control nor hedging.
  Experiments: ` + strings.Join(experimenter.Names(), ", ") + `

  Example: lagooncleat load --experiment straggler --region hangar
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.experiment, "experiment", "", "name of the experiment")
	f.StringVar(&c.region, "region", string(demonstrator.HangarRegion), "region: hangar or co-operative")
	f.IntVar(&c.options.Runs, "runs", defaultRuns, "number of runs; the policies alternate")
	f.Float64Var(&c.seconds, "seconds", 0, "measured time of each segment, in seconds; 0 means the experiment's default")
	f.Float64Var(&c.options.TimeScale, "time-scale", 0, "factor on all simulated times; 0 means the experiment's default")
	f.Uint64Var(&c.options.Seed, "seed", 1, "random seed of the arrivals")
	f.StringVar(&c.plotFile, "plot", "", "write a plot of the latencies of urgent queries to this SVG file")
	f.StringVar(&c.logLevel, "log-level", "error", "log level: trace, debug, info, warn, error or off")
}

func (c *loadCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.experiment == "" || c.options.Runs < 1 || c.seconds < 0 || c.options.TimeScale < 0 {
		return printUsage(c.streams, c)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	report, err := c.run(ctx)
	if err != nil {
		return c.streams.fail(err)
	}
	if c.plotFile != "" {
		if err := report.Plot(c.plotFile); err != nil {
			return c.streams.fail(fmt.Errorf("plot: %w", err))
		}
	}
	if err := report.Write(c.streams.Output); err != nil {
		return c.streams.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) (*experimenter.Report, error) {
	experiment, err := experimenter.Find(experimenter.Name(c.experiment))
	if err != nil {
		return nil, err
	}
	if c.options.Region, err = demonstrator.FindRegion(demonstrator.RegionName(c.region)); err != nil {
		return nil, err
	}
	loggers, err := logger.New(c.streams.Errors, logger.Parameters{Level: c.logLevel})
	if err != nil {
		return nil, err
	}
	c.options.MeasuredDuration = time.Duration(c.seconds * float64(time.Second))
	return experimenter.Run(ctx, experiment, c.options, loggers)
}
