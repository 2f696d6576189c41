// Package fixedseed makes property tests repeat themselves: a test that imports it
// runs with a fixed seed unless the command line names another by -rapid.seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const defaultSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic("fixed seed of property tests: " + err.Error())
	}
}
