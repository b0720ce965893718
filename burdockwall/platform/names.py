"""Names of the platform's headers, paths and environment variables."""

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
API_KEY = b"x-api-key"
# The name of the customer, which is sent to endpoints.
TENANT = b"x-tenant"
EXPECT_INSTANCE = b"x-expect-instance"
# The signature of the endpoint that ran the request.
SERVER_STAMP = b"x-server-stamp"
SERVER_LOAD = b"x-server-load"
NOT_EXECUTED = b"x-not-executed"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
REQUEST_PRIORITY = b"x-request-priority"
PROGRAM_ID = b"x-program-id"
FINISH_MS = b"x-finish-ms"
TOKEN_BUDGET = b"x-token-budget"
# Two numbers: the prompt's tokens, and the most tokens that the answer may have.
TOKEN_USAGE = b"x-token-usage"
# Parts of the prompt that other prompts begin with as well: "ID:TOKENS,ID:TOKENS".
PROMPT_PREFIX = b"x-prompt-prefix"
# The caller's guess of the answer's length.
LENGTH_HINT = b"x-length-hint"
PREVIOUS_TURN = b"x-previous-turn"
# The id of the request whose answer began the stream that a request takes up.
RESUMES = b"resumes"
# Names the object that a request works on.
AFFINITY_KEY = b"x-affinity-key"
# How long the endpoint that answers stays cold, in milliseconds.
COLD_MS = b"x-cold-ms"
RETRY_AFTER = b"retry-after"
KEEP_ALIVE = b"keep-alive"
CONNECTION = b"connection"
HOST = b"host"

# Headers that only the system sets; they are removed from callers' requests.
SYSTEM_HEADERS = frozenset(
    {
        API_KEY,
        TENANT,
        EXPECT_INSTANCE,
        DEADLINE_MS,
        REQUEST_PRIORITY,
        b"x-kv-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)

RESOLVE_PATH = "/api/resolve"
CONFIG_PUT_PATH = "/api/config/put"
CONFIG_GET_PATH = "/api/config/get"
RETIRE_PREFIX = "/api/retire/"
EVACUATE_PREFIX = "/api/evacuate/"
LIST_PATH = "/instances"

SETTINGS_VARIABLE = "BURDOCKWALL_CONFIG"
