"""Define the intervals and limits of heartbeats, leases and failure detection."""

from burdockwall.types import Term

# Maximum time from the leader's acceptance of a withdrawal until every instance refuses
# the key.
KEY_STOP_S = 5.0
# Clocks need not be synchronised; their rates differ from true time by at most this.
CLOCK_RATE_MARGIN = 0.01
# Lease of a member, by its clock, from when it sent the heartbeat that was granted.
LEASE_S = 4.5
# The same lease by the leader's clock, from when the leader granted it. At its end the
# lease has also expired on the member, even if the member's clock is slow and the
# leader's is fast.
LEASE_EXPIRY_S = LEASE_S * (1 + CLOCK_RATE_MARGIN) / (1 - CLOCK_RATE_MARGIN)

HEARTBEAT_INTERVAL_S = 1.0
# Members of a large fleet send less often, so that relays stay within their bandwidth
# limit.
LARGE_FLEET_MEMBERS = 60
LARGE_HEARTBEAT_INTERVAL_S = 1.8
# A relay collects heartbeats for this long before it reports them; its children send
# that much before the relay's next report is due.
RELAY_BATCH_S = 0.25
# Minimum time from a grant to the next heartbeat.
MIN_HEARTBEAT_GAP_INTERVALS = 0.5
# Without a grant for this long, an instance reports through another hop.
GRANT_TIMEOUT_S = 1.2
# The same until a leader has granted an instance its first lease. It doubles each time,
# up to GRANT_TIMEOUT_S.
FIRST_GRANT_TIMEOUT_S = 0.1
# Retry interval while a control instance reports that there is no leader, and the first
# one after the start of an instance; it doubles up to LEADERLESS_RETRY_S.
LEADERLESS_RETRY_S = 0.3
FIRST_LEADERLESS_RETRY_S = 0.05
# An instance returns to its preferred hop after this long.
HOP_AVOID_S = 10.0
# A relay or leader stops pushing to a child that has been silent for this long.
CHILD_EXPIRY_S = 3.0
RESEND_CHANGES_S = 1.0
# Longer than the time in which a member of a large fleet reports what it has installed.
LARGE_RESEND_CHANGES_S = LARGE_HEARTBEAT_INTERVAL_S + 2 * RELAY_BATCH_S
RESEND_SNAPSHOT_S = 5.0
# An outline is small and is confirmed as soon as it arrives.
RESEND_OUTLINE_S = 0.5

DETECTION_INTERVAL_S = 0.3
# Members of a small fleet send heartbeats more often, so silence is detected sooner.
SUSPECT_AFTER_S = 1.7
LARGE_SUSPECT_AFTER_S = 3.2
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.8
PROBE_RESULT_VALID_S = 4.0
PROBERS = 3
SILENT_PROBERS_NEEDED = 2
# With too few probers, only a silence this long confirms a failure.
UNCONFIRMED_FAILURE_S = 3 * LEASE_EXPIRY_S
# A failed member stays in the list for this long after its last heartbeat, unless the
# platform's list shows earlier that it no longer exists.
FAILED_RETENTION_S = 600.0

# There are no leases from before the first term.
FIRST_TERM = Term(1)
