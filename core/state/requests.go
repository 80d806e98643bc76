package state

import (
	"samphirepaddle.example/core/model"
)

// Bounds on the records of non-idempotent requests.
const (
	maxKeyBytes       = 256
	requestRetention  = model.Millis(24 * 60 * 60 * 1000) // how long an ended record is kept
	requestsPerTenant = 100_000
)

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
	s.Requests[key] = &RequestRecord{
		BodyHash: c.BodyHash,
		Request:  c.Request,
		Gateway:  c.Gateway,
		Epoch:    c.Epoch,
		At:       s.Now,
	}
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
	if record.Verdict == model.VerdictRan {
		return Result{Code: CodeRepeated, Answer: record.Answer}
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
	if record.Ended {
		return resultf(CodeStale, "request %q has ended before", c.Request)
	}
	if c.Verdict == model.VerdictNotRun {
		delete(s.Requests, key)
		return Result{Code: CodeOK}
	}
	record.Ended = true
	record.Verdict = c.Verdict
	record.Answer = c.Answer
	record.At = s.Now
	return Result{Code: CodeOK}
}

// forgetRequests marks what an expired session left in progress as unknown.
func (s *State) forgetRequests(gateway model.GatewayID, epoch model.Epoch) {
	for _, record := range s.Requests {
		if record.Gateway == gateway && record.Epoch == epoch && !record.Ended {
			record.Ended = true
			record.Verdict = model.VerdictUnknown
			record.At = s.Now
		}
	}
}
