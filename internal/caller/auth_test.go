package caller

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/internal/control"
)

func TestCancelWithdrawn(t *testing.T) {
	const freshFor = 4 * time.Second
	key := fold.Key{ID: "k", Account: "acc", Digest: [32]byte{1}}
	other := fold.Key{ID: "k2", Account: "other", Digest: [32]byte{1}}
	account := config.Config{Accounts: []config.Account{{Name: "acc"}, {Name: "other"}}, Control: config.Control{FreshFor: freshFor}}
	none := config.Config{Control: config.Control{FreshFor: freshFor}}
	for name, c := range map[string]struct {
		cfg  *config.Config
		keys map[string]fold.Key
		now  time.Duration
		want error
	}{
		"granted":                   {&account, map[string]fold.Key{"k": key}, freshFor, nil},
		"withdrawn":                 {&account, nil, freshFor, errKeyWithdrawn},
		"account removed":           {&none, map[string]fold.Key{"k": key}, freshFor, errKeyWithdrawn},
		"secret granted to another": {&account, map[string]fold.Key{"k2": other}, freshFor, errKeyWithdrawn},
		"snapshot not fresh":        {&account, map[string]fold.Key{"k": key}, freshFor + 1, errConfigStale},
		"no configuration read":     {nil, map[string]fold.Key{"k": key}, 0, errConfigStale},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newActiveRequests()
			ctx, release := s.track(context.Background(), key)
			defer release()
			before := &control.Snapshot{CaughtUp: true, Config: &account, Keys: control.NewKeyIndex(map[string]fold.Key{"k": key}), KeysVersion: 1}
			s.cancelWithdrawn(before, 0)
			g.Expect(context.Cause(ctx)).NotTo(HaveOccurred())
			s.cancelWithdrawn(&control.Snapshot{CaughtUp: true, Config: c.cfg, Keys: control.NewKeyIndex(c.keys), KeysVersion: 2}, c.now)
			if c.want == nil {
				g.Expect(context.Cause(ctx)).NotTo(HaveOccurred())
				return
			}
			g.Expect(context.Cause(ctx)).To(Equal(c.want))
		})
	}
}

// A request may have been authenticated with an older snapshot than the one that
// cancelWithdrawn checked last. The next check must find it although the keys have not
// changed since.
func TestRequestTrackedAfterTheWithdrawalIsCancelled(t *testing.T) {
	g := NewWithT(t)
	key := fold.Key{ID: "k", Account: "acc", Digest: [32]byte{1}}
	cfg := &config.Config{Accounts: []config.Account{{Name: "acc"}}, Control: config.Control{FreshFor: time.Second}}
	withdrawn := &control.Snapshot{CaughtUp: true, Config: cfg, Keys: control.NewKeyIndex(nil), KeysVersion: 2}
	s := newActiveRequests()
	s.cancelWithdrawn(withdrawn, 0)
	ctx, release := s.track(context.Background(), key)
	defer release()
	s.cancelWithdrawn(withdrawn, 0)
	g.Expect(context.Cause(ctx)).To(Equal(errKeyWithdrawn))
}
