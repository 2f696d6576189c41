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

func TestCancelRevoked(t *testing.T) {
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
			s.cancelRevoked(before, 0)
			g.Expect(context.Cause(ctx)).NotTo(HaveOccurred())
			s.cancelRevoked(&control.Snapshot{CaughtUp: true, Config: c.cfg, Keys: control.NewKeyIndex(c.keys), KeysVersion: 2}, c.now)
			if c.want == nil {
				g.Expect(context.Cause(ctx)).NotTo(HaveOccurred())
				return
			}
			g.Expect(context.Cause(ctx)).To(Equal(c.want))
		})
	}
}

func TestCancelRevokedOfStaleSnapshot(t *testing.T) {
	g := NewWithT(t)
	key := fold.Key{ID: "k", Account: "acc", Digest: [32]byte{1}}
	cfg := &config.Config{Accounts: []config.Account{{Name: "acc"}}, Control: config.Control{FreshFor: time.Second}}
	withdrawn := &control.Snapshot{CaughtUp: true, Config: cfg, Keys: control.NewKeyIndex(nil), KeysVersion: 2}
	s := newActiveRequests()
	s.cancelRevoked(withdrawn, 0)
	ctx, release := s.track(context.Background(), key)
	defer release()
	s.cancelRevoked(withdrawn, 0)
	g.Expect(context.Cause(ctx)).To(Equal(errKeyWithdrawn))
}
