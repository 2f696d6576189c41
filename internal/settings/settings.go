// Package settings reads an instance's settings from flags and environment
// variables. A flag goes before its variable, a variable before the default.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/amaranthfold/amaranthfold/internal/instance"
)

// setting is one flag with its environment variable.
type setting struct {
	flag     string
	env      string
	fallback string
	help     string
	secret   bool // environment only
	optional bool
	check    func(value string) error
	store    func(c *instance.Config, value string)
}

func table() []setting {
	return []setting{
		{flag: "id", env: "AMARANTH_ID", help: "name of this instance", store: func(c *instance.Config, v string) { c.ID = v }},
		{flag: "deployment", env: "AMARANTH_DEPLOYMENT", help: "name of the deployment", store: func(c *instance.Config, v string) { c.Deployment = v }},
		{flag: "data-centre", env: "AMARANTH_DATA_CENTRE", help: "data centre of this instance", store: func(c *instance.Config, v string) { c.DataCentre = v }},
		{flag: "caller-listen", env: "AMARANTH_CALLER_LISTEN", fallback: "127.0.0.1:8080", help: "listener for callers (IP:port)", check: checkAddress, store: func(c *instance.Config, v string) { c.CallerListen = v }},
		{flag: "operator-listen", env: "AMARANTH_OPERATOR_LISTEN", fallback: "127.0.0.1:8081", help: "listener for operators (IP:port)", check: checkAddress, store: func(c *instance.Config, v string) { c.OperatorListen = v }},
		{flag: "trainer-listen", env: "AMARANTH_TRAINER_LISTEN", fallback: "127.0.0.1:8082", help: "listener for trainers (IP:port)", check: checkAddress, store: func(c *instance.Config, v string) { c.TrainerListen = v }},
		{flag: "peer-listen", env: "AMARANTH_PEER_LISTEN", fallback: "127.0.0.1:8083", help: "listener for other instances (IP:port)", check: checkAddress, store: func(c *instance.Config, v string) { c.PeerListen = v }},
		{flag: "log-url", env: "AMARANTH_LOG_URL", help: "platform's log (URL)", check: checkURL, store: func(c *instance.Config, v string) { c.LogURL = v }},
		{flag: "list-url", env: "AMARANTH_LIST_URL", help: "platform's list of instances (URL)", check: checkURL, store: func(c *instance.Config, v string) { c.ListURL = v }},
		{flag: "orders-url", env: "AMARANTH_ORDERS_URL", help: "platform's order interface (URL)", check: checkURL, store: func(c *instance.Config, v string) { c.OrdersURL = v }},
		{flag: "usage-url", env: "AMARANTH_USAGE_URL", help: "platform's usage interface (URL)", check: checkURL, store: func(c *instance.Config, v string) { c.UsageURL = v }},
		{flag: "weights-url", env: "AMARANTH_WEIGHTS_URL", help: "platform's weight store (URL)", check: checkURL, store: func(c *instance.Config, v string) { c.WeightsURL = v }},
		{env: "AMARANTH_OPERATOR_KEY", secret: true, help: "key that operators must show", store: func(c *instance.Config, v string) { c.OperatorKey = v }},
	}
}

// Finding is one fault in the settings.
type Finding struct{ Name, Message string }

// Findings is every fault in the settings.
type Findings []Finding

// Error lists the findings, a line each.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Name + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}

// Parse reads the settings from args and the environment. The error is a
// Findings value, or flaggy's for arguments that it does not know.
func Parse(args []string, getenv func(string) string) (instance.Config, error) {
	var cfg instance.Config
	settings := table()
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
			value = s.fallback
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
		s.store(&cfg, value)
	}
	if len(findings) > 0 {
		return cfg, findings
	}
	return cfg, nil
}

func (s setting) name() string {
	if s.secret {
		return s.env
	}
	return "--" + s.flag + " (" + s.env + ")"
}

func parseFlags(settings []setting, args []string) ([]*string, error) {
	parser := flaggy.NewParser("amaranthfold")
	parser.Description = "Rollout service for reinforcement learning: one instance."
	parser.DisableShowVersionWithVersion()
	parser.ShowHelpOnUnexpected = false
	values := make([]*string, len(settings))
	for i, s := range settings {
		values[i] = new(string)
		if !s.secret {
			parser.String(values[i], "", s.flag, s.describe())
		}
	}
	parser.AdditionalHelpAppend = "\nEnvironment only:\n  AMARANTH_OPERATOR_KEY  key that operators must show\n\nExample:\n  amaranthfold --id entry-1 --deployment kingston --data-centre portmore --log-url http://10.0.0.9:9000 ..."
	if err := parser.ParseArgs(args); err != nil {
		return nil, Findings{{"arguments", err.Error()}}
	}
	return values, nil
}

func (s setting) describe() string {
	text := s.help + " [" + s.env + "]"
	if s.fallback != "" {
		text += " (default " + s.fallback + ")"
	}
	return text
}

func checkAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("is %q, want IP:port", value)
	}
	return nil
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("is %q, want an http or https URL", value)
	}
	return nil
}
