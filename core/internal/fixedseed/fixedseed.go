// Package fixedseed makes property tests reproducible. A test package that imports
// it, for its side effect only, runs rapid with a fixed seed unless the command
// line sets another one with -rapid.seed.
//
// It sets the flag's value during package initialisation, which precedes the
// parsing of the command line.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

const defaultSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic("set the default of -rapid.seed: " + err.Error())
	}
}
