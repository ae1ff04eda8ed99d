package metric

// Description documents a metric other than the refusals and retries.
type Description struct {
	// Name is the metric's name without the prefix "currantferry_".
	Name string
	// Kind is "counter", "gauge" or "histogram".
	Kind string
	// Labels lists the labels in the order of the docs, with their values if they are few.
	Labels  string
	Meaning string
}

// Describe returns the metrics that packages report through Set.Scope. A test compares the
// names with the source.
func Describe() []Description {
	return []Description{
		{"lookups", "counter", "`protocol` (`http`, `dns`), `outcome` (`answered`, `truncated`, `no-data` or the reason of a failure)", "lookups of entry VMs; `truncated` ones are repeated over TCP"},
		{"answers", "counter", "`service`, `status`", "answers of instances that were forwarded to callers"},
		{"answer_seconds", "histogram", "`service`, `status`", "time from the arrival of a request to the end of its answer"},
		{"unknown_headers", "counter", "", "headers in the answers of instances that belong to the protocol and that this release does not know, see event 1605"},
		{"caller_pipeline", "counter", "`step` (`pipelined`, `waited`, `cancelled`: requests; `malformed`, `head-timeout`, `not-read`, `no-memory`, `aborted`: connections closed)", "on a platform with [callers] pipeline_most above 1: requests that were started before an earlier answer, that had to wait for one, or that were cancelled behind an answer which closed the connection; and connections closed, by reason"},
		{"crash_steps", "counter", "`step` (`suspected`, `unconfirmed`, `died`, `heard`, `cleared`)", "on a platform: steps of the crash ledger for requests that crashed instances, see event 2344"},
		{"instance_words", "counter", "`word` (`leaving`, `heard-leaving`, `wait`, `unusable`, `limit`, `heard-limit`, `limit-ended`, `limit-unusable`)", "on a platform: notices of instances about new requests, see events 2348 to 2354"},
		{"instance_ejections", "counter", "`step` (`ejected`, `readmitted`)", "on a platform: times that this VM stopped sending requests to an instance that failed, failed trials included, and resumed, see events 2364 and 2365"},
		{"callers_closed", "counter", "`port` (`caller`, `ready`, `lookup`, `peer`), `reason` (`connections`, `address`, `memory`, `fields`, `slow`)", "on a platform: connections that were closed or refused because of a bound in section [callers], see event 2390"},
		{"caller_connections", "gauge", "`port`", "on a platform: open connections of callers"},
		{"caller_memory_bytes", "gauge", "", "on a platform: reserved part of the memory for callers"},
		{"isolated", "gauge", "", "1 while this VM reaches no instance, see events 2361 and 2362"},
		{"sharers", "gauge", "", "on a platform: VMs among which limits and rates are divided, see event 2332"},
		{"sharers_without_record", "gauge", "", "those of them whose record has vanished"},
		{"sharer_standing", "gauge", "", "this VM's part: 0 lapsed, 1 joining, 2 acting"},
		{"health_checks", "counter", "`outcome` (`warm`, `cold`, `other-instance`, `failed`)", "on a platform: questions to instances whether they are cold, see event 2333"},
		{"store_pulses", "counter", "`outcome` (`answered`, `late`)", "on a platform: signs of life that the VM that follows the store asked it for"},
		{"quota_tokens", "counter", "`step` (`wanted`, `leased`, `received`, `returned`)", "on a platform: tokens for requests to instances that named a limit; `leased` counts those that this VM gave out as a coordinator"},
		{"team_requests", "counter", "`mode` (`open`, `metered`, `fallback`), `outcome` (`admitted`, `waited`, `refused`, `refunded`)", "on a platform: requests of teams with a cap; `waited` ones asked for credit first, and are counted again by their outcome, see events 2370 to 2374"},
		{"peer_calls", "counter", "`call`", "calls to other VMs, and with the suffix `-served` calls received from them; `connect` counts connections"},
		{"peer_refusals", "counter", "`reason`", "calls and connections between VMs that were refused or abandoned, by the limit or fault"},
		{"peer_bytes_in", "counter", "", "bytes received from other VMs"},
		{"peer_bytes_out", "counter", "", "bytes sent to other VMs"},
		{"once_claims", "counter", "`outcome` (`granted`, `abandoned` or a refusal reason)", "claims of idempotency keys by this VM's requests"},
		{"once_answers", "counter", "`outcome` (`served`, `missing`, `failed`)", "stored answers that a resend requested"},
		{"once_view_changes", "counter", "`reason`, `outcome` (`started`, `installed`, `failed`, `history_lost`)", "membership changes of partitions that this VM made"},
		{"once_messages", "counter", "`kind`, `outcome` (`answered`, `failed`, `dropped`)", "messages about claims to other VMs; `dropped` ones exceeded the limit on calls in flight"},
		{"once_store_calls", "counter", "`call` (`get`, `swap`, `list`), `outcome` (`ok`, `not_found`, `conflict`, `failed`)", "calls to the store about partition records"},
		{"once_records_written_again", "counter", "", "partition records in force that were written to a store which had an earlier one"},
		{"once_claims_held", "gauge", "", "claims in this VM's memory"},
		{"once_claim_bytes", "gauge", "", "memory of these claims in bytes"},
		{"certificate_reloads", "counter", "`listener` (`caller`, `peer`, `admin`), `outcome` (`loaded`, `rejected`)", "certificate files that changed; after `rejected` the previous certificate stays in use"},
		{"certificate_seconds_left", "gauge", "`listener`", "seconds until the certificate in use expires"},
	}
}
