"""Set the intervals and bounds of heartbeats, leases and failure detection."""

from burdockwall.types import Term

# A key stops everywhere within this time of the acceptance of its withdrawal.
KEY_STOP_S = 5.0
# Clocks need no agreement; their rates differ from true time by at most this.
CLOCK_RATE_MARGIN = 0.01
# Counted by the holder from when it sent the heartbeat that was answered.
LEASE_S = 4.5
# Counted by the leader from its answer: by then the lease has lapsed anywhere.
LEASE_EXPIRY_S = LEASE_S * (1 + CLOCK_RATE_MARGIN) / (1 - CLOCK_RATE_MARGIN)

HEARTBEAT_INTERVAL_S = 1.0
# Large fleets send less often, so that relays keep to their bytes a second.
LARGE_FLEET = 60
LARGE_HEARTBEAT_INTERVAL_S = 1.8
# A relay holds heartbeats for this long; its children send that much before the
# relay's next report is due.
RELAY_BATCH_S = 0.25
# Least time from a grant to the next heartbeat, in heartbeat intervals.
MIN_HEARTBEAT_GAP = 0.5
GRANT_TIMEOUT_S = 1.2
# Where a control instance knows no leader yet, it is asked again after this long.
LEADERLESS_RETRY_S = 0.3
HOP_AVOID_S = 10.0
CHILD_EXPIRY_S = 3.0
RESEND_CHANGES_S = 1.0
RESEND_SNAPSHOT_S = 5.0

EXAMINE_INTERVAL_S = 0.3
# In small fleets, whose heartbeats are more frequent, silence shows sooner.
SUSPECT_AFTER_S = 1.7
LARGE_SUSPECT_AFTER_S = 3.2
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.8
PROBE_RESULT_VALID_S = 4.0
PROBERS = 3
SILENT_PROBERS_NEEDED = 2
# Where too few witnesses exist, only silence this long confirms a failure.
UNCONFIRMED_FAILURE_S = 3 * LEASE_EXPIRY_S
FAILED_RETENTION_S = 600.0

# Nobody holds a lease of a leader before the first term.
FIRST_TERM = Term(1)
