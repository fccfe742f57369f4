package wardturn

import "time"

// OutcomeKind is the kind of result of an attempt.
type OutcomeKind uint8

const (
	// Done means that the complete response was produced.
	Done OutcomeKind = iota + 1
	// NotRun means that no byte of the request reached an upstream and that none
	// will.
	NotRun
	// Unknown means that the request may have run, completely or in part.
	Unknown
)

// String returns the name used in headers, logs and metrics.
func (k OutcomeKind) String() string {
	switch k {
	case Done:
		return "done"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return "unset"
}

// Reason is a code for why an attempt ended as it did. The codes are stable: callers
// match on them.
type Reason string

// The reasons that callers can see.
const (
	ReasonNone           Reason = ""
	ReasonQueueFull      Reason = "queue_full"
	ReasonDeadline       Reason = "deadline"
	ReasonLeaving        Reason = "leaving"
	ReasonQuota          Reason = "quota"
	ReasonNoUpstream     Reason = "no_upstream"
	ReasonUnreachable    Reason = "unreachable"
	ReasonWrongVersion   Reason = "wrong_version"
	ReasonUnknownAdapter Reason = "unknown_adapter"
	ReasonUnknownService Reason = "unknown_service"
	ReasonForbidden      Reason = "forbidden"
	ReasonBadRequest     Reason = "bad_request"
	ReasonTooLarge       Reason = "too_large"
	ReasonCanceled       Reason = "canceled"
	ReasonLogUnavailable Reason = "log_unavailable"
	ReasonKeyReused      Reason = "key_reused"
	ReasonKeyTooOld      Reason = "key_too_old"
	ReasonKeyInProgress  Reason = "key_in_progress"
	ReasonRefused        Reason = "upstream_refused"
	ReasonUpstreamLost   Reason = "upstream_lost"
	ReasonAgentRestarted Reason = "agent_restarted"
	ReasonStaleConfig    Reason = "stale_config"
	ReasonDuplicate      Reason = "duplicate"
	// ReasonLoading: the adapter is being loaded at an upstream.
	ReasonLoading Reason = "adapter_loading"
	// ReasonLimited: the request rates that the upstreams accept are used up.
	ReasonLimited Reason = "upstream_limit"
	// ReasonBackoff: the upstreams asked to be sent no requests for a while.
	ReasonBackoff Reason = "upstream_resting"
	// ReasonEvacuated: the operator has evacuated the failure domains of all upstreams.
	ReasonEvacuated Reason = "domains_evacuated"
	// ReasonRegions: no upstream is in a region where the request may be served.
	ReasonRegions Reason = "no_upstream_in_regions"
	// ReasonSoftware: no upstream has the software version that began the stream.
	ReasonSoftware Reason = "no_upstream_of_software"
	// ReasonOrigin: it is not known which software version began the stream.
	ReasonOrigin Reason = "unknown_origin"
	// ReasonCrashes: upstreams crashed while they had requests of the same content.
	ReasonCrashes Reason = "crashes_upstreams"
	// ReasonPromptPart: upstreams crashed as they began to answer requests with a part of
	// the prompt in common.
	ReasonPromptPart Reason = "crashing_prompt_part"
)

// Outcome is the final result of an attempt.
type Outcome struct {
	Kind       OutcomeKind   `msgpack:"k"`
	Reason     Reason        `msgpack:"r,omitempty"`
	RetryAfter time.Duration `msgpack:"ra,omitempty"`
}

// Finished returns the outcome of an attempt that produced its complete response.
func Finished() Outcome {
	return Outcome{
		Kind: Done,
	}
}

// Refused returns the outcome of an attempt that did not run. A retryAfter of
// zero means that no time for a retry is known.
func Refused(reason Reason, retryAfter time.Duration) Outcome {
	return Outcome{
		Kind:       NotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// Uncertain returns the outcome of an attempt that may have run.
func Uncertain(reason Reason) Outcome {
	return Outcome{
		Kind:   Unknown,
		Reason: reason,
	}
}
