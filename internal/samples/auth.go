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

// Errors returned by checkTrainerKey.
var (
	errKeyNotGranted = errors.New("the key is not granted")
	errWrongAccount  = errors.New("the key belongs to another client account")
	errStaleKeys     = errors.New("this instance can't prove that it knows the latest keys")
)

// requestSecret returns the secret of the key that the request carries: the Bearer token
// of the Authorization header, otherwise the X-Api-Key header.
func requestSecret(r *http.Request) string {
	scheme, value, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(value)
	}
	return r.Header.Get("X-Api-Key")
}

// authorize checks that the request's key is granted to the trainer's client
// account. The check is repeated every keyCheckInterval: the returned context is
// cancelled with the error as its cause once a check fails, so that a waiting request
// ends when its key is withdrawn. The returned function stops the checks.
func (m *Manager) authorize(r *http.Request, trainer string) (context.Context, func(), error) {
	secret := requestSecret(r)
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

// checkTrainerKey returns nil if the key with the secret may be used for the trainer. A
// trainer without a client account needs no key.
func (m *Manager) checkTrainerKey(secret, trainer string) error {
	s := m.Loop.Snapshot()
	t, err := m.trainerConfig(s, trainer)
	if err != nil || t.Account == "" {
		return err
	}
	return checkAccountKey(s, m.Clock.Now(), secret, t.Account)
}

// checkAccountKey returns nil if the key with the secret is granted to the account. It
// fails with errStaleKeys if the snapshot is older than the configured FreshFor, since the
// key may have been withdrawn since.
func checkAccountKey(s *control.Snapshot, now time.Duration, secret, account string) error {
	if !s.Fresh(now, s.Config.Control.FreshFor) {
		return errStaleKeys
	}
	key, granted := s.Key(secret)
	switch {
	case !granted:
		return errKeyNotGranted
	case key.Account != account:
		return errWrongAccount
	default:
		return nil
	}
}
