package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless the command names one.
func TestMain(m *testing.M) {
	seed := flag.Lookup("rapid.seed")
	flag.Parse()
	if seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
