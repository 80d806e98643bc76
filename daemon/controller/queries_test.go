package controller

import (
	"strings"
	"testing"

	"samphirepaddle.example/core/model"
	"samphirepaddle.example/core/state"
)

// Guards against a payload or checkpoint of megabytes in a response that callers read repeatedly,
// and against a missing job that looks like an empty one.
func TestJobViewOmitsPayloadAndCheckpoint(t *testing.T) {
	st := state.New()
	st.Jobs["plan"] = &state.Job{
		Spec:       model.JobSpec{ID: "plan", Payload: []byte("payload")},
		Phase:      state.JobQueued,
		Checkpoint: []byte("checkpoint"),
	}
	read := func(id model.JobID) string {
		arguments, err := model.Encode(id)
		if err != nil {
			t.Fatal(err)
		}
		body, err := queryJob(nil, st, arguments)
		if err != nil {
			t.Fatal(err)
		}
		return string(body)
	}
	body := read("plan")
	for _, part := range []string{`"checkpoint"`, `"spec_hash"`, `"payload":"`} {
		if strings.Contains(body, part) {
			t.Errorf("the response holds %s: %s", part, body)
		}
	}
	if !strings.Contains(body, `"phase":"queued"`) || read("other") != "null" {
		t.Errorf("responses %s and %s", body, read("other"))
	}
	if string(st.Jobs["plan"].Spec.Payload) != "payload" {
		t.Error("the query changed the state")
	}
}
