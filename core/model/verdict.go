package model

import "fmt"

// Verdict says whether a request may have run at a target.
type Verdict uint8

// The verdicts. The zero value is VerdictUnknown, so that an unset verdict never claims that
// a request did not run.
const (
	VerdictUnknown Verdict = iota // the request may have run
	VerdictNotRun                 // the request did not run and will not run
	VerdictRan                    // the request ran and its response is complete
)

// VerdictHeader is the HTTP header with the verdict, set on every response to a caller.
const VerdictHeader = "Samphire-Verdict"

// String returns the form used in VerdictHeader.
func (v Verdict) String() string {
	switch v {
	case VerdictNotRun:
		return "not-run"
	case VerdictRan:
		return "ran"
	default:
		return "unknown"
	}
}

// ParseVerdict reads the form used in VerdictHeader.
func ParseVerdict(text string) (Verdict, error) {
	switch text {
	case "not-run":
		return VerdictNotRun, nil
	case "ran":
		return VerdictRan, nil
	case "unknown":
		return VerdictUnknown, nil
	}
	return VerdictUnknown, fmt.Errorf("verdict %q is none of not-run, ran, unknown", text)
}
