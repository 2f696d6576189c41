package caller

import (
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// prefixBytes is how much of a plain prompt names its prefix.
const prefixBytes = 1024

// prefixHash names the part of a request's prompt that later requests are likely
// to share, so that they go where it is cached: of a chat all up to its first
// user message, which stays the same while the chat grows; of a plain prompt its
// first part. Accounts share no prefix.
func prefixHash(account string, r *engine.Request) uint64 {
	prefix := route.ExtendPrefix(0, account)
	if len(r.Messages) == 0 {
		return route.ExtendPrefix(prefix, string(r.Prompt[:min(len(r.Prompt), prefixBytes)]))
	}
	for _, m := range r.Messages {
		prefix = route.ExtendPrefix(prefix, string(m.Content))
		if m.Role == "user" {
			break
		}
	}
	return prefix
}
