"""Help texts and histogram buckets of the metrics."""

HELP = {
    "pollenfork_stream_runs_total": (
        "Streams of runners, by what showed their end or how they broke off."
    ),
    "pollenfork_streams_taken_up_total": (
        "Streams that callers took up, by how the software version that began "
        "them was found."
    ),
    "pollenfork_admissions_total": (
        "Requests sent to a first runner, by tier and by why they were "
        "admitted."
    ),
    "pollenfork_answer_seconds": (
        "Time from a request's arrival to its answer's last byte."
    ),
    "pollenfork_answers_total": (
        "Answers passed on to callers, by how the passing on ended."
    ),
    "pollenfork_attempts_total": (
        "Sendings of requests to endpoints, retries included."
    ),
    "pollenfork_brittle_refusals_total": (
        "Refusals of brittle runners for want of room."
    ),
    "pollenfork_broken_answers_total": (
        "Answers that ended with an error event, by what broke them."
    ),
    "pollenfork_buffered_bytes": (
        "Bytes held for callers and runners that haven't read them."
    ),
    "pollenfork_caller_faults_total": (
        "Bytes of callers that were no proper request, by what was wrong."
    ),
    "pollenfork_callers_gone_total": (
        "Callers that left before their answer was whole."
    ),
    "pollenfork_cancel_outcomes_total": (
        "Cancels sent to engines, by what the engine said became of them."
    ),
    "pollenfork_cancels_total": ("Attempts cancelled at their engine, by why."),
    "pollenfork_connections_refused_total": (
        "Connections refused since there were too many."
    ),
    "pollenfork_continuations_total": (
        "Broken answers gone on with at another engine, by what broke them."
    ),
    "pollenfork_duplicate_events_total": (
        "Events of a stream that came twice and were dropped."
    ),
    "pollenfork_ejections_total": ("Endpoints taken out of use as stragglers."),
    "pollenfork_entries_refused_total": (
        "Entries that name no runner, by what is wrong with them."
    ),
    "pollenfork_event_gap_seconds": (
        "Longest pause between two events of a stream."
    ),
    "pollenfork_failed_requests_total": (
        "Requests that got no answer from any endpoint, by the last cause."
    ),
    "pollenfork_findings_taken_total": (
        "Findings of other instances that changed what is believed of a "
        "runner, by what was found."
    ),
    "pollenfork_findings_withheld_total": (
        "Failures to connect to a runner that weren't told others, as no other "
        "runner could be connected to either."
    ),
    "pollenfork_first_token_seconds": (
        "Time from a request's arrival to its answer's first byte."
    ),
    "pollenfork_forwarded_total": (
        "Requests forwarded to another instance as no runner could be "
        "connected to, by what became of them."
    ),
    "pollenfork_full_refusals_total": (
        "Requests refused since every worker was busy."
    ),
    "pollenfork_hedges_total": (
        "Second copies asked for, by what became of them."
    ),
    "pollenfork_ledger_total": (
        "What the ledger did with claims and endings, by event."
    ),
    "pollenfork_log_lines_missing_total": (
        "Lines of the log left out: a flood, or a reader that doesn't read."
    ),
    "pollenfork_not_repeated_total": (
        "Failed attempts that no other followed, by why."
    ),
    "pollenfork_operator_refusals_total": (
        "Operators' requests refused, by the code that they were told."
    ),
    "pollenfork_pace_samples_rejected_total": (
        "Samples of runners' paces that weren't used, by reason."
    ),
    "pollenfork_peer_failures_total": (
        "Failures at the interface between instances, by kind."
    ),
    "pollenfork_platform_calls_total": (
        "Retries and refusals of calls to the platform, by event."
    ),
    "pollenfork_predictions_right_total": (
        "Predicted waits that came true within half, or half a second."
    ),
    "pollenfork_predictions_total": (
        "Requests granted after a wait that had been predicted."
    ),
    "pollenfork_preemptions_suspected_total": (
        "Answers with a pause so long that their request was probably "
        "preempted."
    ),
    "pollenfork_refusals_total": (
        "Requests that got an error of the router's own instead of an answer."
    ),
    "pollenfork_refusals_by_tier_total": (
        "Requests refused by the gateway itself, by reason and tier."
    ),
    "pollenfork_relay_retries_total": (
        "Requests sent again before their first byte, by why."
    ),
    "pollenfork_request_wait_seconds": (
        "Time from a request's arrival to its grant of an endpoint."
    ),
    "pollenfork_requests_in_progress": (
        "Requests accepted whose answer isn't handed over yet."
    ),
    "pollenfork_duty_claims_total": (
        "Times that this instance began to act for all."
    ),
    "pollenfork_runners_accepting": (
        "Registered runners that accept new work, by service."
    ),
    "pollenfork_runners_reachable": (
        "Those of them that this instance believes it can connect to."
    ),
    "pollenfork_runner_total_changes_total": (
        "Changes of the number of runners that a service shall have."
    ),
    "pollenfork_platform_replies_total": (
        "What the platform answered to calls that one instance makes for all."
    ),
    "pollenfork_streams_cut_total": (
        "Streams that this instance cut off after they had begun, by why."
    ),
    "pollenfork_window_report_seconds": (
        "From a window's end until the platform had its report."
    ),
    "pollenfork_requests_kept_back_total": (
        "Requests kept back from runners, as runners ended under them."
    ),
    "pollenfork_requests_sent_total": (
        "Requests sent to an endpoint at least once."
    ),
    "pollenfork_resumes_total": (
        "Broken streams taken up again at the same engine, by what broke them."
    ),
    "pollenfork_retries_granted_total": (
        "Further attempts that the scheduler granted, by why."
    ),
    "pollenfork_returns_early_total": (
        "Requests refused as they returned before the time promised."
    ),
    "pollenfork_returns_kept_total": (
        "Requests admitted as they returned at the time promised."
    ),
    "pollenfork_returns_planned_total": (
        "Refused requests that were promised a time to return."
    ),
    "pollenfork_returns_unplanned_total": (
        "Refused requests of forecast services that were promised no time."
    ),
    "pollenfork_runner_connections_total": (
        "Connections to runners: opened, reused, unreachable."
    ),
    "pollenfork_runner_ends_total": (
        "Ends of runners, for each request that they were running."
    ),
    "pollenfork_permits_total": (
        "Requests for leave to send to a runner that names a rate limit, by "
        "what became of them."
    ),
    "pollenfork_runner_notices_total": (
        "Answers in which runners announce that they leave or want a pause."
    ),
    "pollenfork_runners_kept_total": (
        "Entries of runners that vanished and were kept for a moment."
    ),
    "pollenfork_scheduler_refusals_total": (
        "Requests and retries that the scheduler refused, by why."
    ),
    "pollenfork_series_dropped_total": (
        "Samples counted under `other`, as their metric has too many series."
    ),
    "pollenfork_service_connections_total": (
        "Connections to a service's runners: opened, reused."
    ),
    "pollenfork_settings_adopted_total": (
        "Settings trees that came into force, by where they were found."
    ),
    "pollenfork_settings_age_seconds": (
        "Time since the settings in force were last known to be the newest."
    ),
    "pollenfork_settings_read_failures_total": (
        "Reads of the settings that failed, by the failure's type."
    ),
    "pollenfork_settings_revision": ("Revision of the settings in force."),
    "pollenfork_slow_runners": (
        "Runners whose pace is below 0.75 of their service's median."
    ),
    "pollenfork_stalled_callers_total": (
        "Connections cut as their callers took nothing of their answers."
    ),
    "pollenfork_targets_met_total": (
        "Whole answers within their route's targets."
    ),
    "pollenfork_targets_missed_total": (
        "Whole answers later than their route's targets."
    ),
    "pollenfork_tokens_relayed_total": ("Tokens passed on to callers."),
    "pollenfork_tokens_saved_total": (
        "Tokens not generated again, thanks to continuing."
    ),
    "pollenfork_whole_answers_total": (
        "Answers that reached their caller whole."
    ),
}

# Upper bounds of the histogram buckets, in seconds: targets of interactive
# classes range from 0.1 to 2.5 s, long answers take minutes.
LATENCY_BOUNDS_S = (
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.3,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
    300.0,
)
