package ctl

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/soak"
)

func soakCommand() *command {
	var binary, earlier, dir string
	seed, seeds, instances, engines, faults := 1, 1, 4, 4, 8
	length, settle := 12*time.Second, time.Minute
	return &command{
		name: "soak", summary: "Runs hosted instances as processes on loopback under random faults and checks their promises.",
		example: "amaranthctl soak --binary ./amaranthfold --seed 1 --seeds 50",
		setup: func(sub *flaggy.Subcommand) {
			sub.String(&binary, "", "binary", "path of the built amaranthfold")
			sub.String(&earlier, "", "earlier", "path of an earlier build that the instances start with; they are replaced while the load runs")
			sub.String(&dir, "", "dir", "directory that keeps the settings and logs of failed runs (default: a temporary directory)")
			sub.Int(&seed, "", "seed", "first seed")
			sub.Int(&seeds, "", "seeds", "number of runs, with consecutive seeds")
			sub.Int(&instances, "", "instances", "instances")
			sub.Int(&engines, "", "engines", "engines")
			sub.Int(&faults, "", "faults", "minimum number of faults per run")
			sub.Duration(&length, "", "for", "duration of a run's load and faults")
			sub.Duration(&settle, "", "settle", "time after the last fault within which accepted jobs must be complete")
		},
		run: func(ctx context.Context, env *Env) error {
			if binary == "" || seeds < 1 || instances < 2 || engines < 2 || length <= 0 {
				return usagef("--binary is required; --seeds and --for must be more than zero, --instances and --engines at least 2")
			}
			if dir == "" {
				var err error
				if dir, err = os.MkdirTemp("", "soak"); err != nil {
					return fmt.Errorf("directory of the runs: %w", err)
				}
			}
			return runSeeds(ctx, env, soak.Config{
				Binary: binary, EarlierBinary: earlier, Dir: dir, Duration: length, SettleTimeout: settle, Instances: instances, Engines: engines, Faults: faults,
			}, seed, seeds)
		},
	}
}

// runSeeds does one run for each of count consecutive seeds, one at a time. It deletes the
// settings and logs of runs without violations, and fails if a run had any.
func runSeeds(ctx context.Context, env *Env, cfg soak.Config, first, count int) error {
	failed := 0
	base := cfg.Dir
	for i := range count {
		cfg.Seed = uint64(first + i)
		cfg.Dir = filepath.Join(base, fmt.Sprintf("seed-%d", cfg.Seed))
		if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
			return fmt.Errorf("directory of seed %d: %w", cfg.Seed, err)
		}
		log, err := os.Create(filepath.Join(cfg.Dir, "faults.log"))
		if err != nil {
			return fmt.Errorf("log of seed %d: %w", cfg.Seed, err)
		}
		cfg.Out = log
		report, err := soak.Run(ctx, cfg)
		_ = log.Close() // the log only lists faults; violations are in the report
		if err != nil {
			return fmt.Errorf("seed %d: %w", cfg.Seed, err)
		}
		verdict := fmt.Sprintf("%d broken", len(report.Violations))
		if report.Partial {
			verdict = fmt.Sprintf("partial (cut off), %d broken so far", len(report.Violations))
		}
		fmt.Fprintf(env.Out, "seed %d: %d jobs, %d results, %d requests, %d faults, %s\n",
			cfg.Seed, report.Jobs, report.Results, report.Requests, report.Faults, verdict)
		for _, violation := range report.Violations {
			fmt.Fprintf(env.Out, "  %s\n", violation)
		}
		if report.Partial {
			return fmt.Errorf("seed %d: %w; logs in %s", cfg.Seed, context.Cause(ctx), cfg.Dir)
		}
		if len(report.Violations) > 0 {
			failed++
			fmt.Fprintf(env.Out, "  logs in %s\n", cfg.Dir)
			continue
		}
		if err := os.RemoveAll(cfg.Dir); err != nil {
			return fmt.Errorf("remove the logs of seed %d: %w", cfg.Seed, err)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", failed, count)
	}
	return nil
}
