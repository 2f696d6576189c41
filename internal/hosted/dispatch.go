package hosted

import (
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/catalog"
	"github.com/amaranthfold/amaranthfold/internal/forward"
	"github.com/amaranthfold/amaranthfold/platform"
)

// serveCaller finds the route and the account of a request and serves it: a request about
// a job, a submission of a job, or a request to forward to a plain service.
func (in *Instance) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := in.forwarder.NewRequest(w, r)
	if !in.forwarder.AwaitConfiguration(c) {
		in.forwarder.Refuse(c, "no configuration is known yet")
		return
	}
	if _, known := c.View.Target(c.Target); known {
		// The entry of a target has the address of this instance.
		in.forwarder.Respond(c, http.StatusMisdirectedRequest, "the request is for a target")
		return
	}
	jobRequest, isJobRequest, err := platform.DecodeJobRequest(r)
	c.Job = jobRequest.Job
	route, found := c.View.Catalog.Match(r.Host, r.URL.Path)
	if isJobRequest && !found {
		in.serveJobRequest(c, jobRequest, err)
		return
	}
	if !found {
		in.forwarder.Deny(c, http.StatusNotFound, "no route matches the host and path")
		return
	}
	c.Route = route
	if !route.Public {
		account, keyFound := c.View.Catalog.AccountByKey(c.Key)
		if !keyFound {
			in.forwarder.Deny(c, http.StatusUnauthorized, "the key is not known")
			return
		}
		c.Account = account.Name
	}
	switch {
	case !in.forwarder.ReadBody(c):
	case route.Kind == catalog.Batch:
		in.batch.Submit(c)
	default:
		in.forwarder.ForwardRequest(c)
	}
}

// serveJobRequest serves a request about a job. Whether the job exists comes first: the routes, and
// whether they need a key, may have changed since it was submitted.
func (in *Instance) serveJobRequest(c *forward.CallerRequest, jobRequest platform.JobRequest, malformed error) {
	account, keyFound := c.View.Catalog.AccountByKey(c.Key)
	if keyFound {
		c.Account = account.Name
	}
	switch {
	case in.batch.ServeJobRequest(c, jobRequest, malformed):
	case !c.View.Catalog.HasRouteKind(c.Request.Host, catalog.Batch):
		in.forwarder.Deny(c, http.StatusNotFound, "no route matches the host and path")
	case !keyFound && c.View.Catalog.HasAccounts():
		in.forwarder.Deny(c, http.StatusUnauthorized, "the key is not known")
	case malformed != nil:
		in.forwarder.Respond(c, http.StatusBadRequest, malformed.Error())
	default:
		in.forwarder.Respond(c, http.StatusNotFound, "no such job")
	}
}
