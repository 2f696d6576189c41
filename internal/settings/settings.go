// Package settings reads an instance's settings from flags and environment variables. A
// flag overrides its environment variable, which overrides the default.
//
// Parse is given the arguments and a lookup of environment variables. It checks the form
// of each value, that files are readable and that TLS files are complete, and reports
// all findings together. It does not load certificates or connect to anything.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/certs"
	"github.com/amaranthfold/amaranthfold/internal/instance"
	"github.com/amaranthfold/amaranthfold/internal/operator"
)

// setting is a flag with its environment variable, or an environment variable alone.
type setting struct {
	flag         string
	env          string
	defaultValue string
	help         string
	envOnly      bool                                   // has no flag
	optional     bool                                   // may be unset
	check        func(value string) error               // nil: any value is valid
	apply        func(c *instance.Config, value string) // stores a checked value
}

// Finding is a validation finding: the name of a setting and why its value is invalid.
type Finding struct{ Name, Message string }

// Findings holds all findings of one Parse.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Name + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}

// Parse reads the settings from args and the environment. A non-nil error is a Findings
// value. If the arguments cannot be parsed, that is the only finding.
func Parse(args []string, getenv func(string) string) (instance.Config, error) {
	var cfg instance.Config
	settings := allSettings()
	values, err := parseFlags(settings, args)
	if err != nil {
		return cfg, err
	}
	var findings Findings
	for i, s := range settings {
		name := s.name()
		value := *values[i]
		if value == "" {
			value = getenv(s.env)
		}
		if value == "" {
			value = s.defaultValue
		}
		if value == "" {
			if !s.optional {
				findings = append(findings, Finding{name, "is not set"})
			}
			continue
		}
		if s.check != nil {
			if err := s.check(value); err != nil {
				findings = append(findings, Finding{name, err.Error()})
				continue
			}
		}
		s.apply(&cfg, value)
	}
	findings = append(findings, checkTLS(&cfg)...)
	if len(findings) > 0 {
		return cfg, findings
	}
	return cfg, nil
}

// checkTLS reports listeners with only one of certificate and key. The listener for peers
// needs either all of certificate, key and CA or none, since instances verify each other's
// certificates.
func checkTLS(cfg *instance.Config) Findings {
	var findings Findings
	for _, l := range []struct {
		flag  string
		files certs.Files
	}{
		{"--caller-tls", cfg.Callers.TLS},
		{"--operator-tls", cfg.Operators.TLS},
		{"--trainer-tls", cfg.Trainers.TLS},
		{"--peer-tls", cfg.Peers.TLS},
	} {
		if (l.files.Certificate == "") != (l.files.Key == "") {
			findings = append(findings, Finding{l.flag, "needs both a certificate and a key"})
		}
		if l.flag == "--peer-tls" && l.files.Configured() != (l.files.CA != "") {
			findings = append(findings, Finding{l.flag, "needs an authority with its certificate, since instances check one another"})
		}
	}
	return findings
}

// Description describes a setting for the documentation.
type Description struct{ Flag, Env, Default, Help string }

// Name returns the flag with its dashes, or the environment variable if there is no flag.
func (d Description) Name() string {
	if d.Flag == "" {
		return d.Env
	}
	return "--" + d.Flag
}

// All returns the descriptions of all settings, in the order of --help.
func All() []Description {
	settings := allSettings()
	out := make([]Description, len(settings))
	for i, s := range settings {
		out[i] = Description{Flag: s.flag, Env: s.env, Default: s.defaultValue, Help: s.help}
	}
	return out
}

// name returns the flag and its environment variable, as findings show them.
func (s setting) name() string {
	if s.envOnly {
		return s.env
	}
	return "--" + s.flag + " (" + s.env + ")"
}

// parseFlags returns the flag values in the order of settings. A value is empty if the flag
// is not given, or if the setting has none.
func parseFlags(settings []setting, args []string) ([]*string, error) {
	parser := flaggy.NewParser("amaranthfold")
	parser.Description = "Rollout service for reinforcement learning: one instance."
	parser.DisableShowVersionWithVersion()
	parser.ShowHelpOnUnexpected = false
	values := make([]*string, len(settings))
	for i, s := range settings {
		values[i] = new(string)
		if !s.envOnly {
			parser.String(values[i], "", s.flag, s.helpText())
		}
	}
	parser.AdditionalHelpAppend = "\nEnvironment only:\n  AMARANTH_OPERATOR_KEY  key that operators must show, or name=key pairs separated by commas\n\nExample:\n  amaranthfold --id entry-1 --deployment kingston --data-centre portmore --log-url http://10.0.0.9:9000 ..."
	if err := parser.ParseArgs(args); err != nil {
		return nil, Findings{{"arguments", err.Error()}}
	}
	return values, nil
}

func (s setting) helpText() string {
	text := s.help + " [" + s.env + "]"
	if s.defaultValue != "" {
		text += " (default " + s.defaultValue + ")"
	}
	return text
}

func checkAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("is %q, want IP:port", value)
	}
	return nil
}

func checkOperatorKeys(value string) error {
	_, err := operator.ParseKeys(value)
	return err
}

func checkFile(value string) error {
	f, err := os.Open(value)
	if err != nil {
		return err
	}
	return f.Close()
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("is %q, want an http or https URL", value)
	}
	return nil
}
