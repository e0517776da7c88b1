"""The platform's header names, paths and other fixed names.

Header names are lower-case bytes, as the HTTP parser's callbacks need them.
"""

ATTEMPT = b"x-pollenfork-attempt-id"
DEADLINE = b"x-pollenfork-deadline-ms"
PROMPT_PARTS = b"x-pollenfork-prompt-prefix"
TOKENS = b"x-pollenfork-token-usage"
LENGTH_HINT = b"x-pollenfork-length-hint"
MODEL = b"x-pollenfork-model"
EXPECTED_RUNNER = b"x-pollenfork-expect-instance"
ACCOUNT = b"x-pollenfork-tenant"
COPY_SOURCE = b"kv-fetch"
PRIORITY = b"x-pollenfork-request-priority"
SEAL = b"x-pollenfork-response-seal"
NOT_RUN = b"x-pollenfork-not-executed"
LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
RETRY_AFTER = b"retry-after"
STORE_EPOCH = b"store-era"
RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
BRITTLE = b"server-brittle"
FEED_WAIT_MS = b"wait-ms"
AUTHORIZATION = b"authorization"

# Set by the router only; they are dropped from callers' requests.
RESERVED = frozenset(
    {
        DEADLINE,
        EXPECTED_RUNNER,
        ACCOUNT,
        PRIORITY,
        b"x-pollenfork-expect-version",
        b"x-pollenfork-hold",
        b"x-pollenfork-pin-ms",
        b"x-pollenfork-kv-backup",
        b"kv-from",
        COPY_SOURCE,
    }
)

DUTY_HOLDER = "X-Pollenfork-Duty-Holder"
FENCING_TOKEN = "X-Pollenfork-Fencing-Token"
REPORTING_DUTY = "usage_report"
SCALING_DUTY = "autoscale"

READY_PATH = b"/api/ready"
CACHE_FEED_PATH = "/api/kv-events"
CACHE_LIST_PATH = "/api/kv-list"
FEED_PATH = "/api/rows-feed"
TABLE_PATH = "/api/rows-get"
TRANSACTION_PATH = "/api/rows-tx"
USAGE_PATH = "/usage"
SCALING_PATH = "/scaling"

SETTINGS_VARIABLE = "POLLENFORK_BOOT"
SETTINGS_PATH = "/etc/pollenfork/boot.toml"
