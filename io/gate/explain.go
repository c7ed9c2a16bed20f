package gate

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
	"shallotcleat/io/wire"
)

// explainedRequestID is the id of an explained request that has none.
const explainedRequestID = "explain"

// Explain handles the Explain RPC: it decides about a request as for a caller's, but sends nothing and records nothing. It does not consult the
// rules about requests that crash servers, nor where a resumed stream began.
func (nh *nodeHandler) Explain(_ context.Context, er *wire.ExplainRequest) (*wire.RequestExplanation, error) {
	gt, now := nh.gate, time.Now()
	header := make(http.Header)
	for _, hf := range er.GetHeader() {
		header.Add(hf.GetName(), hf.GetValue())
	}
	rq := &request{method: er.GetMethod(), target: er.GetPath(), host: er.GetHost(), header: header, arrived: now,
		info: gt.opts.Dialect.DecodeRequest(header), excluded: make(map[string]bool)}
	if rq.info.RequestID == "" {
		rq.info.RequestID = explainedRequestID
	}
	reply := &wire.RequestExplanation{GateZone: gt.opts.Zone}
	refuse := func(err *answer.Error) (*wire.RequestExplanation, error) {
		reply.RefusalCode, reply.RefusalReason, reply.RetryAfterMs = string(err.Code()), err.Message(), err.RetryAfter().Milliseconds()
		return reply, nil
	}
	target, err := url.ParseRequestURI(er.GetPath())
	if err != nil || !strings.HasPrefix(er.GetPath(), "/") {
		return refuse(answer.NewError(answer.BadRequest, answer.NotRun, 0, "%q is not a path", er.GetPath()))
	}
	refusal := gt.admit(rq, &http.Request{URL: target})
	if rq.routes != nil {
		reply.ConfigVersion = rq.routes.Version()
	}
	if rq.route != nil {
		reply.Route = rq.route.Name()
	}
	if rq.workspace != nil {
		reply.Workspace = rq.workspace.Name()
	}
	if refusal != nil {
		return refuse(refusal)
	}
	if limit := callerLimits(rq.routes).MaxBodyBytes; int64(er.GetBodyBytes()) > limit {
		return refuse(answer.NewError(answer.BodyTooLarge, answer.NotRun, 0, "request body larger than %d bytes", limit))
	}
	rq.setService(rq.service)
	rq.call = rq.call.WithRequest(rq.info.RequestID, int(er.GetBodyBytes()))
	reply.Service = rq.service.Name()
	if model := rq.call.Model(); model != "" && !gt.picker.KnowsModel(rq.service.Name(), model) {
		return refuse(answer.NewError(answer.NoBackendServer, answer.NotRun, 0, "no server of service %q has model %q", reply.Service, model))
	}
	ex := gt.picker.Explain(now, rq.call)
	encodeExplanation(reply, ex)
	ch, ok := ex.Choice()
	if !ok {
		return refuse(gt.noServerError(now, rq, answer.NewError(answer.NoBackendServer, answer.NotRun, serverRetryAfter,
			"no available backend server for service %q", reply.Service)))
	}
	if shed := gt.shed(rq, ch); shed != nil {
		return refuse(shed)
	}
	return reply, nil
}

// encodeExplanation adds an explanation to a reply.
func encodeExplanation(reply *wire.RequestExplanation, ex pick.Explanation) {
	if ch, ok := ex.Choice(); ok {
		reply.ServerId, reply.ZoneExit = ch.Server().ID(), string(ch.ExitReason())
	}
	share, included := ex.Share()
	reply.Share, reply.ShareReason, reply.InShare = share.Fraction(), string(share.Reason()), included
	for _, as := range ex.Assessments() {
		sv := as.Server()
		reply.Servers = append(reply.Servers, &wire.ServerAssessment{
			ServerId: sv.ID(), Address: sv.Address(), Zone: sv.Zone(),
			CostUs: as.Cost().Microseconds(), ZoneCostUs: as.ZoneCost().Microseconds(), FirstEventUs: as.TimeToFirstEvent().Microseconds(),
			CachedParts: uint32(as.CachedParts()), Home: as.IsHome(), Backoff: as.InBackoff(), Obstacle: string(as.Obstacle()),
		})
	}
}
