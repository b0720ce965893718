"""Decide at the control leader which endpoints count as cold.

Made for endpoints that crash when they are sent their usual load soon after a start or
a pause. An endpoint counts as cold until an observation says that it is warm. Whatever
may have made it cold since, such as a restart or the end of an evacuation, is a
suspicion, and only an observation of a later state clears it. The state grows with the
endpoints of services that have a rule, and messages only with suspicions.
"""

from collections.abc import Iterable, Mapping

import logbook
import msgspec

from burdockwall.process.endpoints import ListedEndpoint
from burdockwall.types import EndpointId, FailureDomain, ServiceName
from burdockwall.version.deployment import ColdRule

# A longer cold time is taken for an error of the endpoint or the list.
MAX_COLD_S = 3600.0
# Time between two health requests to one endpoint, and the most that are made at once,
# so that a whole domain that returns at the target's size is asked within two seconds.
CHECK_INTERVAL_S = 0.5
MAX_CHECKS = 16
# After a reset the list may show the earlier start of the endpoint until it is back. An
# endpoint that is down for longer refuses health requests, which renews the suspicion.
RESTART_S = 5.0
_logger = logbook.Logger("cold")


class _State(msgspec.Struct):
    """What is known of one endpoint; times are those of this process's clock.

    `health_at` and `list_at` are the times of the states that the latest observations
    describe. A list that shows no later start clears a suspicion only if it shows the
    state at `list_clears_at` or later.
    """

    endpoint: ListedEndpoint
    cold_until: float = float("-inf")
    health_at: float = float("-inf")
    list_at: float = float("-inf")
    suspected_at: float = float("-inf")
    list_clears_at: float = float("-inf")
    checked_at: float = float("-inf")
    logged_cold: bool = False
    logged_unreadable: bool = False


class ColdJudge:
    """The cold endpoints, as one term of the control leader knows them.

    The list that is read describes the state of `list_lag_s` before.
    """

    def __init__(self, list_lag_s: float) -> None:
        self.list_lag_s = list_lag_s
        self.rules: Mapping[ServiceName, ColdRule] = {}
        # The ends of evacuations that have been recorded, as Unix times.
        self.ended: dict[FailureDomain, float] = {}
        self._states: dict[EndpointId, _State] = {}
        self._has_list = False

    def reset(self) -> None:
        """Drop what an earlier term knew."""
        self.ended = {}
        self._states = {}
        self._has_list = False

    def install_rules(self, rules: Mapping[ServiceName, ColdRule]) -> None:
        """Use these rules from now on."""
        self.rules = rules

    def record_list(
        self,
        endpoints: Iterable[ListedEndpoint],
        began_at: float,
        now: float,
        unix_now: float,
    ) -> None:
        """Record a list whose reading began at a time and has ended now."""
        earlier, self._states = self._states, {}
        for endpoint in endpoints:
            if endpoint.service not in self.rules:
                continue
            state = earlier.get(endpoint.name)
            left_s = self._find_listed_left_s(endpoint, state, unix_now)
            if state is None:
                state = _State(endpoint)
                if left_s is None:
                    state.suspected_at = now
                    state.list_clears_at = float("inf")
            restarted = state.endpoint.started_ms != endpoint.started_ms
            state.endpoint = endpoint
            self._states[endpoint.name] = state
            if left_s is not None:
                shown_at = began_at - self.list_lag_s
                self._observe_list(state, left_s, shown_at, restarted, now)
        self._has_list = True

    def _find_listed_left_s(
        self, endpoint: ListedEndpoint, state: _State | None, unix_now: float
    ) -> float | None:
        """Return how long the list says that an endpoint stays cold, or None."""
        if endpoint.cold_left_s is not None:
            return endpoint.cold_left_s
        start_s = self.rules[endpoint.service].start_s
        if endpoint.started_ms is not None:
            return max(0.0, start_s - (unix_now - endpoint.started_ms / 1000))
        # Without a time of its start, an endpoint that was not listed before is new.
        return start_s if state is None and self._has_list else None

    def _observe_list(
        self, state: _State, left_s: float, shown_at: float, restarted: bool, now: float
    ) -> None:
        state.list_at = shown_at
        if restarted:
            state.list_clears_at = min(state.list_clears_at, shown_at)
        if shown_at >= state.health_at:
            state.cold_until = self._compute_end(state, left_s, now)

    def record_health(
        self, name: EndpointId, left_s: float | None, asked_at: float, now: float
    ) -> None:
        """Record what a health response says; None if it says nothing.

        `asked_at` is when the request was sent.
        """
        state = self._states.get(name)
        if state is not None and left_s is not None and asked_at >= state.health_at:
            state.health_at = asked_at
            state.cold_until = self._compute_end(state, left_s, now)

    def _compute_end(self, state: _State, left_s: float, now: float) -> float:
        """Return when the cold time ends that an observation names."""
        if left_s == 0:
            return float("-inf")
        if 0 < left_s <= MAX_COLD_S:
            return now + left_s
        if not state.logged_unreadable:
            state.logged_unreadable = True
            _logger.warning(
                "cold time unreadable; endpoint counts as cold",
                extra={"endpoint": state.endpoint.name, "seconds": str(left_s)},
            )
        return now + max(CHECK_INTERVAL_S, self.rules[state.endpoint.service].start_s)

    def record_suspicion(self, name: EndpointId, at: float) -> None:
        """Record that an endpoint may have become cold at a time."""
        state = self._states.get(name)
        if state is None or at <= state.suspected_at:
            return
        if at - state.suspected_at > RESTART_S:
            _logger.info("endpoint may be cold", extra={"endpoint": name})
        state.suspected_at = at
        state.list_clears_at = at + RESTART_S

    def record_evacuation_end(
        self, domain: FailureDomain, ended: float, at: float
    ) -> None:
        """Record that the evacuation of a domain ended at a time.

        `ended` is the same time in Unix seconds, which tells one end from another.
        """
        if self.ended.get(domain) == ended:
            return
        self.ended = {**self.ended, domain: ended}
        for state in self._states.values():
            if state.endpoint.failure_domain == domain:
                state.suspected_at = max(state.suspected_at, at)
                state.list_clears_at = max(state.list_clears_at, at)

    def _is_suspected(self, state: _State, now: float) -> bool:
        """Return whether no observation has cleared the latest suspicion.

        What a suspicion may have made cold is warm again when a whole start has passed.
        """
        start_s = self.rules[state.endpoint.service].start_s
        if now >= state.suspected_at + start_s:
            return False
        cleared = state.health_at > state.suspected_at
        return not cleared and state.list_at < state.list_clears_at

    def find_rate(self, name: EndpointId, now: float) -> float | None:
        """Return what a cold endpoint takes per second, or None if it is warm."""
        state = self._states.get(name)
        if state is None or state.endpoint.service not in self.rules:
            return None
        if now < state.cold_until or self._is_suspected(state, now):
            return self.rules[state.endpoint.service].per_s
        return None

    def list_cold(self, now: float) -> frozenset[EndpointId]:
        """List the endpoints that count as cold, and log those that no longer do."""
        cold = []
        for name, state in self._states.items():
            is_cold = self.find_rate(name, now) is not None
            if is_cold:
                cold.append(name)
            if is_cold != state.logged_cold:
                state.logged_cold = is_cold
                message = "endpoint is cold" if is_cold else "endpoint is warm"
                extra = {"endpoint": name, "service": state.endpoint.service}
                _logger.notice(message, extra=extra)
        return frozenset(cold)

    def start_checks(self, now: float) -> list[ListedEndpoint]:
        """Return the endpoints to ask for their health now.

        They are those that a suspicion makes cold, and those whose cold time may have
        passed already, since the list that named it was late.
        """
        due: list[ListedEndpoint] = []
        for state in self._states.values():
            if len(due) == MAX_CHECKS:
                break
            if now - state.checked_at < CHECK_INTERVAL_S:
                continue
            if state.endpoint.service not in self.rules:
                continue
            ends_soon = 0 < state.cold_until - now <= self.list_lag_s
            if ends_soon or self._is_suspected(state, now):
                state.checked_at = now
                due.append(state.endpoint)
        return due
