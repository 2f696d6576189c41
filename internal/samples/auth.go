package samples

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/control"
)

const keyCheckInterval = 100 * time.Millisecond

// Errors of a trainer's key.
var (
	errNoKey        = errors.New("the key is not granted")
	errOtherAccount = errors.New("the key belongs to another client account")
	errStaleKeys    = errors.New("this instance can't prove that it knows the latest keys")
)

// trainerKey returns the key that came with the request.
func trainerKey(r *http.Request) string {
	scheme, value, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(value)
	}
	return r.Header.Get("X-Api-Key")
}

// authorize checks that the request's key is granted to the trainer's client
// account. The context ends when the key is withdrawn while the request waits.
func (m *Manager) authorize(r *http.Request, trainer string) (context.Context, func(), error) {
	secret := trainerKey(r)
	if err := m.checkTrainerKey(secret, trainer); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	go func() {
		ticker := time.NewTicker(keyCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if err := m.checkTrainerKey(secret, trainer); err != nil {
				cancel(err)
				return
			}
		}
	}()
	return ctx, func() { cancel(context.Canceled) }, nil
}

func (m *Manager) checkTrainerKey(secret, trainer string) error {
	s := m.Loop.Snapshot()
	t, err := m.trainerConfig(s, trainer)
	if err != nil || t.Account == "" {
		return err
	}
	return checkAccountKey(s, m.Clock.Now(), secret, t.Account)
}

func checkAccountKey(s *control.Snapshot, now time.Duration, secret, account string) error {
	if !s.Fresh(now, s.Config.Control.FreshFor) {
		return errStaleKeys
	}
	key, granted := s.Key(secret)
	switch {
	case !granted:
		return errNoKey
	case key.Account != account:
		return errOtherAccount
	default:
		return nil
	}
}
