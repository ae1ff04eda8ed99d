package verdict

import "net/http"

// Reason is the cause of a refusal or a retry. docs/METRICS.md lists the counter of each
// reason.
type Reason string

// Reasons of refusals and retries.
const (
	ReasonUnknownService    Reason = "unknown-service"
	ReasonBadRequest        Reason = "bad-request"
	ReasonKeyRequired       Reason = "key-required"
	ReasonKeyReused         Reason = "key-reused"
	ReasonKeyInProgress     Reason = "key-in-progress"
	ReasonKeyDone           Reason = "key-done"
	ReasonKeyTableFull      Reason = "key-table-full"
	ReasonKeyUnavailable    Reason = "key-owner-unavailable"
	ReasonKeyHistoryLost    Reason = "key-history-lost"
	ReasonCrashGuard        Reason = "crash-guard"
	ReasonNoUpstream        Reason = "no-upstream"
	ReasonSaturated         Reason = "saturated"
	ReasonLongShare         Reason = "long-share"
	ReasonDeadline          Reason = "deadline"
	ReasonDeadlineAhead     Reason = "deadline-ahead"
	ReasonRegionLimit       Reason = "region-limit"
	ReasonLinkLimit         Reason = "link-limit"
	ReasonShiftCap          Reason = "shift-cap"
	ReasonRetryBudget       Reason = "retry-budget"
	ReasonConnectFailed     Reason = "connect-failed"
	ReasonConnectionLost    Reason = "connection-lost"
	ReasonUpstreamRefused   Reason = "upstream-refused"
	ReasonMisdirected       Reason = "misdirected"
	ReasonTruncated         Reason = "answer-truncated"
	ReasonAnswerMismatch    Reason = "answer-mismatch"
	ReasonCallerGone        Reason = "caller-gone"
	ReasonNotReady          Reason = "not-ready"
	ReasonStopping          Reason = "stopping"
	ReasonOverloaded        Reason = "overloaded"
	ReasonSlowUpstream      Reason = "slow-upstream"
	ReasonBodyNotRepeatable Reason = "body-not-repeatable"
	ReasonAskedToWait       Reason = "asked-to-wait"
	ReasonAtLimit           Reason = "at-limit"
	ReasonWithdrawn         Reason = "withdrawn"
	ReasonConnectionLimit   Reason = "connection-limit"
	ReasonIsolated          Reason = "isolated"
	ReasonUnknownTeam       Reason = "unknown-team"
	ReasonTeamCap           Reason = "team-cap"
	ReasonPrecedence        Reason = "precedence"
	ReasonTeamShare         Reason = "team-share"
	ReasonOutdated          Reason = "outdated"
)

// Describe returns each reason with its description, in the order of the docs.
func Describe() []Description {
	return descriptions
}

// Description documents a reason.
type Description struct {
	Reason Reason
	Status int
	Proxy  string // RFC 9209 error type
	Text   string
}

var descriptions = []Description{
	{ReasonUnknownService, http.StatusNotFound, "destination_not_found", "no such service in the asset register"},
	{ReasonBadRequest, http.StatusBadRequest, "http_request_error", "malformed request"},
	{ReasonKeyRequired, http.StatusBadRequest, "http_request_denied", "the route demands an Idempotency-Key"},
	{ReasonKeyReused, http.StatusUnprocessableEntity, "http_request_denied", "the key was used with another request"},
	{ReasonKeyInProgress, http.StatusConflict, "http_request_denied", "a request with this key is running or its outcome is unknown"},
	{ReasonKeyDone, http.StatusConflict, "http_request_denied", "a request with this key ran and its answer is no longer kept"},
	{ReasonKeyTableFull, http.StatusServiceUnavailable, "connection_limit_reached", "the claim table is full"},
	{ReasonKeyUnavailable, http.StatusServiceUnavailable, "destination_unavailable", "the partition of the key cannot grant now"},
	{ReasonKeyHistoryLost, http.StatusConflict, "destination_unavailable", "all members of the key's partition were lost within the retention time"},
	{ReasonCrashGuard, http.StatusServiceUnavailable, "http_request_denied", "the same request broke connections on two instances"},
	{ReasonNoUpstream, http.StatusServiceUnavailable, "destination_unavailable", "no instance takes work"},
	{ReasonSaturated, http.StatusServiceUnavailable, "connection_limit_reached", "every instance is at its limit"},
	{ReasonLongShare, http.StatusServiceUnavailable, "connection_limit_reached", "the share for long work is in use"},
	{ReasonDeadline, http.StatusGatewayTimeout, "http_response_timeout", "the deadline passed"},
	{ReasonDeadlineAhead, http.StatusServiceUnavailable, "http_request_denied", "the deadline would pass before an answer"},
	{ReasonRegionLimit, http.StatusServiceUnavailable, "connection_limit_reached", "no headroom in any allowed region"},
	{ReasonLinkLimit, http.StatusServiceUnavailable, "connection_limit_reached", "the share of the link between regions is in use"},
	{ReasonShiftCap, http.StatusServiceUnavailable, "connection_limit_reached", "the cap on shifts allows no more"},
	{ReasonRetryBudget, http.StatusBadGateway, "connection_limit_reached", "the retry budget is used up"},
	{ReasonConnectFailed, http.StatusBadGateway, "connection_refused", "no connection to the instance"},
	{ReasonConnectionLost, http.StatusBadGateway, "connection_terminated", "the connection ended before an answer"},
	{ReasonUpstreamRefused, http.StatusServiceUnavailable, "http_request_denied", "the instance shed the request unrun"},
	{ReasonMisdirected, http.StatusServiceUnavailable, "destination_unavailable", "another instance has the address now and ran nothing"},
	{ReasonTruncated, http.StatusBadGateway, "http_response_incomplete", "the answer ended early"},
	{ReasonAnswerMismatch, http.StatusBadGateway, "http_protocol_error", "the answer names another request"},
	{ReasonCallerGone, 499, "http_request_error", "the caller closed the request"},
	{ReasonNotReady, http.StatusServiceUnavailable, "proxy_internal_response", "this VM has not confirmed its configuration"},
	{ReasonStopping, http.StatusServiceUnavailable, "proxy_internal_response", "this VM is stopping"},
	{ReasonOverloaded, http.StatusServiceUnavailable, "connection_limit_reached", "this VM is at its own limit"},
	{ReasonSlowUpstream, http.StatusGatewayTimeout, "http_response_timeout", "a hedged read overtook a slow instance"},
	{ReasonAskedToWait, http.StatusServiceUnavailable, "destination_unavailable", "every instance that may serve the request leaves or asked for a pause"},
	{ReasonAtLimit, http.StatusServiceUnavailable, "connection_limit_reached", "every instance that may serve the request is at the limit that it named, leaves or asked for a pause"},
	{ReasonConnectionLimit, http.StatusServiceUnavailable, "connection_limit_reached", "this VM uses all connections that it may open to the instance"},
	{ReasonWithdrawn, http.StatusServiceUnavailable, "destination_unavailable", "the instance asked for no more requests before this one was sent"},
	{ReasonIsolated, http.StatusServiceUnavailable, "destination_unavailable", "this VM reaches no instance, or the request was passed on to it without its key"},
	{ReasonUnknownTeam, http.StatusUnauthorized, "http_request_denied", "the request has no key of a team, or an unknown one"},
	{ReasonTeamCap, http.StatusTooManyRequests, "connection_limit_reached", "the team is at its cap of requests"},
	{ReasonPrecedence, http.StatusServiceUnavailable, "connection_limit_reached", "the capacity is kept for more urgent requests"},
	{ReasonTeamShare, http.StatusServiceUnavailable, "connection_limit_reached", "the team has its share of the capacity and others have not"},
	{ReasonOutdated, http.StatusServiceUnavailable, "proxy_internal_response", "this VM can't confirm that its routes are as new as those of other VMs"},
	{ReasonBodyNotRepeatable, http.StatusBadGateway, "connection_terminated", "the body was partly sent and cannot be sent again"},
}

var byReason = func() map[Reason]Description {
	m := make(map[Reason]Description, len(descriptions))
	for _, d := range descriptions {
		m[d.Reason] = d
	}
	return m
}()

// Status returns the HTTP status of a refusal with this reason.
func (r Reason) Status() int {
	if d, ok := byReason[r]; ok {
		return d.Status
	}
	return http.StatusBadGateway
}

// ProxyError returns the RFC 9209 error type for this reason.
func (r Reason) ProxyError() string {
	if d, ok := byReason[r]; ok {
		return d.Proxy
	}
	return "proxy_internal_error"
}

// Text returns the description of the reason for the body of a refusal.
func (r Reason) Text() string { return byReason[r].Text }
