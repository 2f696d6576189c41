package caller

import (
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// promptPrefixBytes is the length of the part of a plain prompt that is hashed.
const promptPrefixBytes = 1024

// prefixHash returns the cache-affinity key of a request: a hash of the account and of
// the prefix of the prompt that later requests are likely to share. Requests with equal
// keys are routed to one engine, which has the prefix cached. The prefix of a chat ends
// with the first user message and stays the same while the chat grows; that of a plain
// prompt is its first promptPrefixBytes. The account is hashed so that the keys of
// different accounts differ.
func prefixHash(account string, r *engine.Request) uint64 {
	prefix := route.ExtendPrefix(0, account)
	if len(r.Messages) == 0 {
		return route.ExtendPrefix(prefix, string(r.Prompt[:min(len(r.Prompt), promptPrefixBytes)]))
	}
	for _, m := range r.Messages {
		prefix = route.ExtendPrefix(prefix, string(m.Content))
		if m.Role == "user" {
			break
		}
	}
	return prefix
}
