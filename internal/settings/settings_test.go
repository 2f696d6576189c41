package settings_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/internal/settings"
)

// completeEnv returns environment variables for all required settings.
func completeEnv() map[string]string {
	return map[string]string{
		"AMARANTH_ID": "entry-1", "AMARANTH_DEPLOYMENT": "kingston", "AMARANTH_DATA_CENTRE": "portmore",
		"AMARANTH_LOG_URL": "http://127.0.0.1:1", "AMARANTH_LIST_URL": "http://127.0.0.1:2", "AMARANTH_ORDERS_URL": "http://127.0.0.1:3",
		"AMARANTH_USAGE_URL": "http://127.0.0.1:4", "AMARANTH_WEIGHTS_URL": "http://127.0.0.1:5", "AMARANTH_OPERATOR_KEY": "secret",
	}
}

var _ = Describe("Parse", func() {
	It("prefers a flag to its environment variable", func() {
		env := completeEnv()
		cfg, err := settings.Parse([]string{"--id", "entry-2"}, func(k string) string { return env[k] })
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.ID).To(Equal("entry-2"))
		Expect(cfg.Callers.Address).To(Equal("127.0.0.1:8080"))
	})
	It("reports all findings together", func() {
		env := completeEnv()
		delete(env, "AMARANTH_ID")
		env["AMARANTH_LOG_URL"] = "nowhere"
		_, err := settings.Parse([]string{"--peer-listen", "host:1"}, func(k string) string { return env[k] })
		Expect(err).To(MatchError(And(ContainSubstring("--id"), ContainSubstring("--log-url"), ContainSubstring("--peer-listen"))))
	})
	It("requires certificate and key together, and for peers also a CA", func() {
		env := completeEnv()
		env["AMARANTH_CALLER_TLS_CERT"] = "settings_test.go"
		env["AMARANTH_PEER_TLS_CERT"] = "settings_test.go"
		env["AMARANTH_PEER_TLS_KEY"] = "settings_test.go"
		env["AMARANTH_OPERATOR_TLS_KEY"] = "missing.pem"
		_, err := settings.Parse(nil, func(k string) string { return env[k] })
		Expect(err).To(MatchError(And(
			ContainSubstring("--caller-tls: needs both"), ContainSubstring("--peer-tls: needs an authority"), ContainSubstring("missing.pem"),
		)))
	})
	It("rejects an unknown flag", func() {
		_, err := settings.Parse([]string{"--colour", "red"}, func(string) string { return "" })
		Expect(err).To(HaveOccurred())
	})
})
