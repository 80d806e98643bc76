package state

import (
	"slices"

	"samphirepaddle.example/core/model"
)

// maxKeyBytes bounds the key of a request or job.
const maxKeyBytes = 256

// beginRequest records the intent to dispatch, or answers what became of an earlier
// request with the same key.
func (s *State) beginRequest(c *BeginRequest) Result {
	if c.Key == "" || len(c.Key) > maxKeyBytes {
		return resultf(CodeInvalid, "key has %d bytes, 1 to %d are allowed", len(c.Key), maxKeyBytes)
	}
	key := RequestKey{c.Tenant, c.Key}
	if record, ok := s.Requests[key]; ok {
		return s.repeatedRequest(record, c)
	}
	gateway, ok := s.Gateways[c.Gateway]
	if !ok || gateway.Epoch != c.Epoch || gateway.Expired {
		return resultf(CodeStale, "gateway %q has no session %d", c.Gateway, c.Epoch)
	}
	if !s.makeRoom(c.Tenant) {
		return resultf(CodeLimit, "tenant %q has %d requests with a key in the last %d minutes",
			c.Tenant, requestsPerTenant, requestGuard/60_000)
	}
	record := &RequestRecord{
		BodyHash: c.BodyHash,
		Request:  c.Request,
		Gateway:  c.Gateway,
		Epoch:    c.Epoch,
		At:       s.Now,
	}
	s.Requests[key] = record
	addCount(s.index.requests, c.Tenant, 1)
	put(s.index.inProgress, c.Gateway, key, record)
	return Result{Code: CodeOK}
}

func (s *State) repeatedRequest(record *RequestRecord, c *BeginRequest) Result {
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

// endRequest stores the outcome. A request that did not run frees its key.
func (s *State) endRequest(c *EndRequest) Result {
	key := RequestKey{c.Tenant, c.Key}
	record, ok := s.Requests[key]
	if !ok || record.Request != c.Request {
		return resultf(CodeStale, "no request %q is recorded under this key", c.Request)
	}
	if record.Ended && record.Verdict == c.Verdict {
		return Result{Code: CodeRepeated} // a resend after a lost answer
	}
	if record.Ended {
		return resultf(CodeStale, "request %q has ended before", c.Request)
	}
	take(s.index.inProgress, record.Gateway, key)
	if c.Verdict == model.VerdictNotRun {
		delete(s.Requests, key)
		addCount(s.index.requests, c.Tenant, -1)
		return Result{Code: CodeOK}
	}
	s.closeRequest(key, record, c.Verdict, c.Response)
	return Result{Code: CodeOK}
}

// closeRequest stores the outcome. An answer that is too large is not kept; a resend then
// gets the verdict without it.
func (s *State) closeRequest(key RequestKey, record *RequestRecord, verdict model.Verdict, answer *StoredResponse) {
	if answer.size() > maxAnswerBytes {
		answer = nil
	}
	record.Ended = true
	record.Verdict = verdict
	record.Response = answer
	record.At = s.Now
	record.Sequence = s.takeSequence()
	entry := endedRequest{record.Sequence, record.At, key}
	s.index.endedRequests.push(entry)
	s.index.tenantQueue(key.Tenant).push(entry)
	s.index.answerBytes += answer.size()
}

// size is the memory that an answer takes, in bytes.
func (a *StoredResponse) size() int64 {
	if a == nil {
		return 0
	}
	return int64(len(a.Body) + len(a.ContentType))
}

// forgetRequests marks what an expired session left in progress as unknown.
func (s *State) forgetRequests(gateway model.GatewayID) {
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
