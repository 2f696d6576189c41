package platform

import (
	"context"
	"net/http"
	"net/url"
)

// WeightsReply contains a model's newest version of the weights.
type WeightsReply struct {
	Latest int64 `json:"latest"` // version number, from 1
	Bytes  int64 `json:"bytes"`  // size of one version
}

// Weights is the client of the weight store, which is rate-limited.
type Weights struct{ client }

// NewWeights returns a client of the store at base, an HTTP URL.
func NewWeights(base string) *Weights { return &Weights{newClient(base)} }

// Latest returns the model's newest version.
func (w *Weights) Latest(ctx context.Context, model string) (WeightsReply, error) {
	var reply WeightsReply
	err := w.call(ctx, http.MethodGet, "/weights/"+url.PathEscape(model), nil, &reply)
	return reply, err
}
