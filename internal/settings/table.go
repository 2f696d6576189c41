package settings

import (
	"fmt"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/instance"
	"github.com/amaranthfold/amaranthfold/internal/listener"
)

// allSettings returns every setting, in the order of --help.
func allSettings() []setting {
	list := []setting{
		{flag: "id", env: "AMARANTH_ID", help: "name of this instance", apply: func(c *instance.Config, v string) { c.ID = v }},
		{flag: "deployment", env: "AMARANTH_DEPLOYMENT", help: "name of the deployment", apply: func(c *instance.Config, v string) { c.Deployment = v }},
		{flag: "data-centre", env: "AMARANTH_DATA_CENTRE", help: "data centre of this instance", apply: func(c *instance.Config, v string) { c.DataCentre = v }},
	}
	list = append(list, listenerSettings("caller", "CALLER", "callers", "127.0.0.1:8080", func(c *instance.Config) *listener.Config { return &c.Callers })...)
	list = append(list, listenerSettings("operator", "OPERATOR", "operators", "127.0.0.1:8081", func(c *instance.Config) *listener.Config { return &c.Operators })...)
	list = append(list, listenerSettings("trainer", "TRAINER", "trainers", "127.0.0.1:8082", func(c *instance.Config) *listener.Config { return &c.Trainers })...)
	list = append(list, listenerSettings("peer", "PEER", "other instances", "127.0.0.1:8083", func(c *instance.Config) *listener.Config { return &c.Peers })...)
	return append(list, platformSettings()...)
}

// listenerSettings returns the settings of the listener for one kind of client. flag and
// env are the prefixes of its flags and environment variables, clients is the name of the
// clients in help texts, and address is the default address.
func listenerSettings(flag, env, clients, address string, listenerConfig func(*instance.Config) *listener.Config) []setting {
	env = "AMARANTH_" + env
	settings := []setting{
		{
			flag: flag + "-listen", env: env + "_LISTEN", defaultValue: address, help: "listener for " + clients + " (IP:port)",
			check: checkAddress, apply: func(c *instance.Config, v string) { listenerConfig(c).Address = v },
		},
		{
			flag: flag + "-tls-cert", env: env + "_TLS_CERT", optional: true, help: "certificate for " + clients + " (PEM file)",
			check: checkFile, apply: func(c *instance.Config, v string) { listenerConfig(c).TLS.Certificate = v },
		},
		{
			flag: flag + "-tls-key", env: env + "_TLS_KEY", optional: true, help: "key of that certificate (PEM file)",
			check: checkFile, apply: func(c *instance.Config, v string) { listenerConfig(c).TLS.Key = v },
		},
	}
	if flag == "peer" {
		settings = append(settings, setting{
			flag: "peer-tls-ca", env: "AMARANTH_PEER_TLS_CA", optional: true, help: "authority of the instances' certificates, for mutual TLS (PEM file)",
			check: checkFile, apply: func(c *instance.Config, v string) { c.Peers.TLS.CA = v },
		})
	}
	return settings
}

func platformSettings() []setting {
	return []setting{
		{flag: "log-url", env: "AMARANTH_LOG_URL", help: "platform's log (URL)", check: checkURL, apply: func(c *instance.Config, v string) { c.LogURL = v }},
		{flag: "list-url", env: "AMARANTH_LIST_URL", help: "platform's list of instances (URL)", check: checkURL, apply: func(c *instance.Config, v string) { c.ListURL = v }},
		{flag: "orders-url", env: "AMARANTH_ORDERS_URL", help: "platform's order interface (URL)", check: checkURL, apply: func(c *instance.Config, v string) { c.OrdersURL = v }},
		{flag: "usage-url", env: "AMARANTH_USAGE_URL", help: "platform's usage interface (URL)", check: checkURL, apply: func(c *instance.Config, v string) { c.UsageURL = v }},
		{flag: "weights-url", env: "AMARANTH_WEIGHTS_URL", help: "platform's weight store (URL)", check: checkURL, apply: func(c *instance.Config, v string) { c.WeightsURL = v }},
		{
			flag: "drain-timeout", env: "AMARANTH_DRAIN_TIMEOUT", defaultValue: "5m", help: "longest wait for requests in flight at a planned stop (duration)",
			check: checkDuration, apply: storeDrainTimeout,
		},
		{env: "AMARANTH_OPERATOR_KEY", envOnly: true, help: "key that operators must show, or name=key pairs separated by commas", check: checkOperatorKeys, apply: func(c *instance.Config, v string) { c.OperatorKey = v }},
	}
}

// checkDuration accepts a positive duration with a unit.
func checkDuration(value string) error {
	if d, err := time.ParseDuration(value); err != nil || d <= 0 {
		return fmt.Errorf("is %q, want a positive duration with a unit such as 30s or 5m", value)
	}
	return nil
}

// storeDrainTimeout sets the drain timeout to a value that checkDuration has accepted, so
// that parsing it cannot fail.
func storeDrainTimeout(c *instance.Config, value string) {
	c.DrainTimeout, _ = time.ParseDuration(value)
}
