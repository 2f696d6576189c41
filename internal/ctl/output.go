package ctl

import (
	"encoding/json"
	"io"

	"github.com/integrii/flaggy"
)

// outputJSON is the value of --output for JSON.
const outputJSON = "json"

// attachOutput adds the --output flag. If it is not set, output is empty, which means text.
func attachOutput(sub *flaggy.Subcommand, output *string) {
	sub.String(output, "o", "output", "text or json")
}

// checkOutput rejects unknown values of --output.
func checkOutput(output string) error {
	if output != "" && output != "text" && output != outputJSON {
		return usagef("--output is %q, want text or json", output)
	}
	return nil
}

// printJSON writes v as one line of JSON.
func printJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
