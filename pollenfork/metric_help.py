"""What each metric says, as scrapes show it."""

HELP = {
    "pollenfork_answers_total": (
        "Answers passed on to callers, by how the passing on ended."
    ),
    "pollenfork_answer_seconds": (
        "Time from a request's arrival to its answer's last byte."
    ),
    "pollenfork_first_token_seconds": (
        "Time from a request's arrival to its answer's first byte."
    ),
    "pollenfork_operator_refusals_total": (
        "Operators' requests refused, by the code that they were told."
    ),
    "pollenfork_refusals_total": (
        "Requests that got an error of the router's own instead of an answer."
    ),
    "pollenfork_request_wait_seconds": (
        "Time from a request's arrival to its grant of an endpoint."
    ),
    "pollenfork_series_dropped_total": (
        "Samples counted under `other`, as their metric has too many series."
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
    "pollenfork_settings_revision": "Revision of the settings in force.",
    "pollenfork_attempts_total": "Attempts sent, retries and hedges included.",
    "pollenfork_broken_answers_total": (
        "Answers that ended with an error event, by what broke them."
    ),
    "pollenfork_cancel_outcomes_total": (
        "What endpoints said to the cancel of an attempt."
    ),
    "pollenfork_cancels_total": "Attempts cancelled, by the reason.",
    "pollenfork_continuations_total": (
        "Answers gone on with at another engine, by what broke the first."
    ),
    "pollenfork_dropped_duplicates_total": (
        "Events that an engine sent again and that were not passed on."
    ),
    "pollenfork_ejections_total": "Endpoints taken out as stragglers.",
    "pollenfork_failed_requests_total": (
        "Requests that no endpoint answered, by the last cause."
    ),
    "pollenfork_first_attempts_total": "Requests that were sent.",
    "pollenfork_ledger_total": (
        "What the ledger did with keyed requests, by event."
    ),
    "pollenfork_peer_failures_total": (
        "Failures at the interface between instances, by kind."
    ),
    "pollenfork_platform_calls_total": (
        "Retries and refusals of calls to the platform, by event."
    ),
    "pollenfork_predictions_right_total": (
        "Waits predicted within half, or half a second."
    ),
    "pollenfork_predictions_total": "Waits that had been predicted.",
    "pollenfork_relayed_tokens_total": "Tokens passed on to callers.",
    "pollenfork_resumes_total": (
        "Broken streams taken up again at the same engine, by what broke them."
    ),
    "pollenfork_retries_granted_total": (
        "Further attempts granted, by the reason."
    ),
    "pollenfork_retries_total": (
        "Attempts at another endpoint before the first byte, by the reason."
    ),
    "pollenfork_saved_tokens_total": (
        "Tokens not generated again, as their answers were continued."
    ),
    "pollenfork_scheduler_refusals_total": (
        "Asks for a slot refused by the scheduler, by the reason."
    ),
    "pollenfork_whole_answers_total": "Answers that reached callers whole.",
}
