package state

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// maxKeyBytes bounds the idempotency key of a request or job.
const maxKeyBytes = 256

// beginRequest records a request before it is dispatched, or returns the outcome of an earlier
// request with the same key.
func (s *State) beginRequest(c *BeginRequest) Result {
	if c.Key == "" || len(c.Key) > maxKeyBytes {
		return resultf(CodeInvalid, "key has %d bytes, 1 to %d are allowed", len(c.Key), maxKeyBytes)
	}
	key := RequestKey{c.Tenant, c.Key}
	if record, ok := s.Requests[key]; ok {
		return s.resentRequestResult(record, c)
	}
	gateway, ok := s.Gateways[c.Gateway]
	if !ok || gateway.Epoch != c.Epoch || gateway.Expired {
		return resultf(CodeStale, "gateway %q has no session %d", c.Gateway, c.Epoch)
	}
	if !s.ensureRequestCapacity(c.Tenant) {
		return resultf(CodeLimit, "tenant %q has %d requests with a key in the last %d minutes",
			c.Tenant, maxRequestsPerTenant, minRequestAge/60_000)
	}
	record := &RequestRecord{
		BodyHash:  c.BodyHash,
		Request:   c.Request,
		Gateway:   c.Gateway,
		Epoch:     c.Epoch,
		UpdatedAt: s.Now,
	}
	s.Requests[key] = record
	addCount(s.index.requestsByTenant, c.Tenant, 1)
	putNested(s.index.inProgress, c.Gateway, key, record)
	return Result{Code: CodeOK}
}

func (s *State) resentRequestResult(record *RequestRecord, c *BeginRequest) Result {
	if record.BodyHash != c.BodyHash {
		return resultf(CodeConflict, "the key was used before for another request")
	}
	if record.Request == c.Request && !record.Ended {
		return Result{Code: CodeOK}
	}
	if !record.Ended {
		return resultf(CodeInProgress, "the request with this key is in progress")
	}
	if record.Verdict == model.VerdictRan && record.Response != nil {
		return Result{Code: CodeRepeated, Response: record.Response}
	}
	if record.Verdict == model.VerdictRan {
		return resultf(CodeUnknown, "the request with this key has run; its answer is no longer kept")
	}
	return resultf(CodeUnknown, "the request with this key may have run; its answer was lost")
}

// endRequest records the outcome. The key of a request that did not run can be used again.
func (s *State) endRequest(c *EndRequest) Result {
	key := RequestKey{c.Tenant, c.Key}
	record, ok := s.Requests[key]
	if !ok || record.Request != c.Request {
		return resultf(CodeStale, "no request %q is recorded under this key", c.Request)
	}
	if record.Ended && record.Verdict == c.Verdict {
		return Result{Code: CodeRepeated} // retry by a gateway that did not receive the result
	}
	if record.Ended {
		return resultf(CodeStale, "request %q has ended before", c.Request)
	}
	deleteNested(s.index.inProgress, record.Gateway, key)
	if c.Verdict == model.VerdictNotRun {
		delete(s.Requests, key)
		addCount(s.index.requestsByTenant, c.Tenant, -1)
		return Result{Code: CodeOK}
	}
	s.closeRequest(key, record, c.Verdict, c.Response)
	return Result{Code: CodeOK}
}

// closeRequest ends the record of a request. A response above maxResponseBytes is not stored;
// a retry then gets CodeUnknown instead of the response.
func (s *State) closeRequest(key RequestKey, record *RequestRecord, verdict model.Verdict, response *StoredResponse) {
	if response.size() > maxResponseBytes {
		response = nil
	}
	record.Ended = true
	record.Verdict = verdict
	record.Response = response
	record.UpdatedAt = s.Now
	record.Sequence = s.allocateSequence()
	entry := endedRequestRef{record.Sequence, record.UpdatedAt, key}
	s.index.endedRequests.push(entry)
	s.index.endedRequestQueue(key.Tenant).push(entry)
	s.index.responseBytes += response.size()
}

// size returns the size of the response in bytes, and zero for nil.
func (r *StoredResponse) size() int64 {
	if r == nil {
		return 0
	}
	return int64(len(r.Body) + len(r.ContentType))
}

// endAbandonedRequests ends the requests that an expired session left in progress; whether they
// have run is unknown.
func (s *State) endAbandonedRequests(gateway model.GatewayID) {
	open := s.index.inProgress[gateway]
	keys := make([]RequestKey, 0, len(open))
	for key := range open {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, RequestKey.compare)
	for _, key := range keys {
		s.closeRequest(key, open[key], model.VerdictUnknown, nil)
	}
	delete(s.index.inProgress, gateway)
}
