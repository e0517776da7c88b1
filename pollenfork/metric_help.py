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
}
