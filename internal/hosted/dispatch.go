package hosted

import (
	"net/http"

	"github.com/amaranthfold/amaranthfold/core/catalog"
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
	isJobRequest = isJobRequest && !found
	if isJobRequest && !c.View.Catalog.HasRouteKind(r.Host, catalog.Batch) {
		// The host may have had such a route when the job was submitted.
		known, err := in.batch.KnowsJob(c, jobRequest.Job)
		if err != nil {
			in.forwarder.Refuse(c, "the log is out of reach: "+err.Error())
			return
		}
		isJobRequest = known
	}
	if !found && !isJobRequest {
		in.forwarder.Deny(c, http.StatusNotFound, "no route matches the host and path")
		return
	}
	c.Route = route
	if isJobRequest || !route.Public {
		account, keyFound := c.View.Catalog.AccountByKey(c.Key)
		if !keyFound {
			in.forwarder.Deny(c, http.StatusUnauthorized, "the key is not known")
			return
		}
		c.Account = account.Name
	}
	switch {
	case isJobRequest && err != nil:
		in.forwarder.Respond(c, http.StatusBadRequest, err.Error())
	case isJobRequest:
		in.batch.ServeJobRequest(c, jobRequest)
	case !in.forwarder.ReadBody(c):
	case route.Kind == catalog.Batch:
		in.batch.Submit(c)
	default:
		in.forwarder.ForwardRequest(c)
	}
}
