"""The copier of a store, which fetches the records that only other stores have."""

from itertools import islice

import msgspec

from burdockwall.machine import Message, Receive, Send, Tick
from burdockwall.process.storage.ledger import Ledger
from burdockwall.process.storage.messages import (
    AskCopied,
    AskIndex,
    AskRecords,
    Copied,
    RecordIndex,
    RecordsFound,
)
from burdockwall.process.storage.records import RecordKey, StoreState
from burdockwall.process.storage.view import StoreMember, StoreView
from burdockwall.types import Incarnation, InstanceId

COPIER_MESSAGES: tuple[type[Message], ...] = (RecordIndex, RecordsFound, AskCopied)
REQUEST_INTERVAL_S = 0.3
REQUEST_TIMEOUT_S = 1.0
REQUEST_KEYS_LIMIT = 400
# While more than this waits for the disk, no further records are asked for.
UNSYNCED_LIMIT_BYTES = 4_194_304
# An index received this long after a store became incomplete lists all records that
# were stored before.
SETTLE_S = 1.2
# The asker in an index of a store of an earlier build, which does not repeat it.
NO_ASKER = Incarnation(0)


class ViewInstalled(msgspec.Struct, frozen=True):
    """A view of the stores is in force."""

    view: StoreView


class CompletenessChanged(msgspec.Struct, frozen=True):
    """The store became complete, or incomplete.

    `sources` are the complete stores that it has copied, `copied` all stores that it
    has. With too few complete ones, it has copied every other member.
    """

    complete: bool
    sources: tuple[InstanceId, ...]
    copied: tuple[InstanceId, ...] = ()


class _Source(msgspec.Struct):
    """The state of copying from one store; `position` is the next in its log."""

    incarnation: Incarnation = Incarnation(0)
    position: int = 0
    complete: bool = False
    requested_at: float = float("-inf")
    unanswered: bool = False
    asked_at: float = float("-inf")
    # Whether records were not asked for since the disk is waited for.
    paused: bool = False
    caught_up_at: float = float("-inf")
    missing: list[RecordKey] = msgspec.field(default_factory=list)
    # The keys of the last question for records, while it is unanswered. There is one
    # such question at a time.
    asked: frozenset[RecordKey] = frozenset()


class Copier:
    """Follows the logs of the other stores, and decides when this one is complete."""

    def __init__(self, instance: InstanceId, ledger: Ledger) -> None:
        self.instance = instance
        self.ledger = ledger
        self.view = StoreView()
        self._group = 0
        self._sources: dict[InstanceId, _Source] = {}
        self._incomplete_since = 0.0
        self._started = False

    def handle(
        self, event: Tick | Receive | ViewInstalled, now: float
    ) -> list[Send | CompletenessChanged]:
        """Handle an event and return the messages and changes of completeness."""
        if not self._started:
            self._started = True
            self._incomplete_since = now
        match event:
            case ViewInstalled(view=view):
                return self._install(view, now)
            case Receive(sender=sender, message=message):
                return self._receive(sender, message, now)
            case Tick():
                return [*self._request_due(now), *self._check_complete(now)]

    def _install(self, view: StoreView, now: float) -> list[Send | CompletenessChanged]:
        if view.number <= self.view.number:
            return []
        member = view.find(self.instance)
        self._follow_group(view, member)
        state = self.ledger.state
        since = member.since if member is not None else 0
        if since == state.since:
            return []
        # A store that was removed from the view lacks the records stored since then.
        complete = state.complete and state.since == 0 and member is not None
        self._incomplete_since = now
        # A store that was no member was told no places of streams.
        self.ledger.stream_places.since = now
        self.ledger.set_state(StoreState(complete, since), now)
        return [CompletenessChanged(complete, ())]

    def _follow_group(self, view: StoreView, member: StoreMember | None) -> None:
        """Copy from the stores of the own group, and from those that have left it."""
        group = member.group if member is not None else self._group
        if group != self._group:
            self._group = group
            self._sources = {}
        if member is None and view.groups > 1:
            # The group that this store will join is not known yet.
            self.view = StoreView(view.number)
            return
        self.view = view.select_group(group)
        for instance in self.view.instances:
            if instance != self.instance:
                self._sources.setdefault(instance, _Source())

    def _receive(
        self, sender: InstanceId, message: Message, now: float
    ) -> list[Send | CompletenessChanged]:
        match message:
            case RecordIndex():
                return [*self._handle_index(sender, message, now)]
            case RecordsFound():
                return [*self._handle_records(sender, message, now)]
            case AskCopied(source=source, since_s=since_s):
                done = self._has_copied(source, now - since_s)
                return [Send(sender, Copied(source, done))]
            case _:
                return []

    def _has_copied(self, source: InstanceId, since_at: float) -> bool:
        state = self._sources.get(source)
        complete = self.ledger.state.complete
        return complete and state is not None and state.caught_up_at > since_at

    def _handle_index(
        self, sender: InstanceId, index: RecordIndex, now: float
    ) -> list[Send]:
        source = self._sources.get(sender)
        if source is None or not self._is_own_index(index):
            return []
        source.unanswered = False
        source.incarnation = index.incarnation
        source.position = index.position
        source.complete = index.complete
        new = list(filter(self._is_missing, index.keys))
        source.missing = [*filter(self._is_missing, source.missing), *new]
        if index.ended and not source.missing:
            source.caught_up_at = now
        sends = self._ask_records(sender, source, now) if new else []
        if not index.ended:
            sends.append(self._ask_index(sender, source, now))
        return sends

    def _is_missing(self, key: RecordKey) -> bool:
        return not self.ledger.holds(key)

    def _handle_records(
        self, sender: InstanceId, found: RecordsFound, now: float
    ) -> list[Send]:
        self.ledger.add_all(found.records, now)
        source = self._sources.get(sender)
        if source is None:
            return []
        source.asked = frozenset()
        missing = len(source.missing)
        absent = set(found.absent)
        source.missing = [
            key
            for key in source.missing
            if key not in absent and not self.ledger.holds(key)
        ]
        if len(source.missing) < missing:
            return self._ask_records(sender, source, now)
        return []

    def _is_own_index(self, index: RecordIndex) -> bool:
        """Return whether an index answers this incarnation of the store.

        An index that was asked for before the disk was lost says nothing of the records
        before its first position, which the store then had.
        """
        return index.asker in (NO_ASKER, self.ledger.incarnation)

    def _request_due(self, now: float) -> list[Send]:
        sends: list[Send] = []
        for instance, source in self._sources.items():
            # What a silent store lists is asked of the others.
            silent = source.unanswered
            interval_s = REQUEST_TIMEOUT_S if silent else REQUEST_INTERVAL_S
            if now - source.requested_at >= interval_s:
                sends.append(self._ask_index(instance, source, now))
                source.missing = list(filter(self._is_missing, source.missing))
            due = source.paused or now - source.asked_at >= REQUEST_INTERVAL_S
            if due and not silent:
                sends += self._ask_records(instance, source, now)
        return sends

    def _ask_index(self, instance: InstanceId, source: _Source, now: float) -> Send:
        source.requested_at = now
        source.unanswered = True
        ask = AskIndex(source.incarnation, source.position, self.ledger.incarnation)
        return Send(instance, ask)

    def _ask_records(
        self, instance: InstanceId, source: _Source, now: float
    ) -> list[Send]:
        """Ask for missing records, unless a question or the disk is waited for."""
        if self._awaits_records(source, now):
            return []
        source.paused = self.ledger.unsynced_bytes > UNSYNCED_LIMIT_BYTES
        if source.paused:
            return []
        keys = self._choose_keys(source, now)
        if not keys:
            return []
        source.asked = frozenset(keys)
        source.asked_at = now
        return [Send(instance, AskRecords(keys))]

    def _awaits_records(self, source: _Source, now: float) -> bool:
        return bool(source.asked) and now - source.asked_at < REQUEST_TIMEOUT_S

    def _choose_keys(self, source: _Source, now: float) -> list[RecordKey]:
        """Choose missing keys that no other source has just been asked for."""
        elsewhere: set[RecordKey] = set()
        for other in self._sources.values():
            if other is not source and self._awaits_records(other, now):
                elsewhere |= other.asked
        keys = (key for key in source.missing if key not in elsewhere)
        return list(islice(filter(self._is_missing, keys), REQUEST_KEYS_LIMIT))

    def _check_complete(self, now: float) -> list[CompletenessChanged]:
        state = self.ledger.state
        if state.complete or self.view.find(self.instance) is None:
            return []
        settled_at = self._incomplete_since + SETTLE_S
        others = [each for each in self.view.instances if each != self.instance]
        copied = [
            instance
            for instance in others
            if self._sources[instance].caught_up_at >= settled_at
        ]
        ready = [instance for instance in copied if self._sources[instance].complete]
        enough = len(ready) >= min(self.view.read_quorum, len(others))
        # Without enough complete stores, what all members hold is all that is left.
        if not enough and len(copied) < len(others):
            return []
        self.ledger.set_state(StoreState(True, state.since), now)
        return [CompletenessChanged(True, tuple(ready), tuple(copied))]
