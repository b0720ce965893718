"""Write to one shard over a link that loses a chosen write to the backup."""

from collections import Counter

from burdockwall.machine import Send
from burdockwall.process.programs.messages import Prepare
from burdockwall.process.programs.operations import Claimed, OutcomeKey, ServiceRequest
from burdockwall.process.programs.program_tree import Limits
from burdockwall.process.programs.replica import WINDOW_OPERATIONS, ShardReplica
from burdockwall.types import (
    CustomerId,
    FencingNumber,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    RequestId,
    RouteName,
    ShardId,
)
from burdockwall.version.shards import ShardView

PRIMARY = InstanceId("a")
BACKUP = InstanceId("b")
SHARD = ShardId(1)
STEP_S = 0.01
TICK_STEPS = 5
RUN_S = 10.0
LOST_WRITE = 3


class ResendingShard:
    """A primary and a backup, and the messages between them."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.losses = 0
        self.now = 0.0
        self.under_way: list[tuple[float, InstanceId, Send]] = []
        self.sent: Counter[int] = Counter()
        self.proposed_at: dict[int, float] = {}
        self.committed_at: dict[int, float] = {}
        self.replicas = {
            name: ShardReplica(name, Incarnation(1), SHARD, Limits())
            for name in (PRIMARY, BACKUP)
        }
        view = ShardView(SHARD, FencingNumber(1), PRIMARY, (BACKUP,))
        for replica in self.replicas.values():
            replica.install(view, self.now)
        self.primary = self.replicas[PRIMARY]
        self.primary.lease_until = 1e9
        self._pass_time(1.0)
        assert self.primary.serving

    def write(self, interval_s: float, losses: int) -> None:
        """Write at an interval; the third write is lost so many times."""
        self.losses = losses
        end = self.now + RUN_S
        while self.now < end:
            if self.primary.prepared - self.primary.committed < WINDOW_OPERATIONS:
                self._propose()
            self._pass_time(interval_s)
        self._pass_time(1.0)

    def measure_wait(self) -> float:
        """Return the time from the proposal of the lost write to its commit."""
        return self.committed_at[LOST_WRITE] - self.proposed_at[LOST_WRITE]

    def _propose(self) -> None:
        number = self.primary.prepared + 1
        key = OutcomeKey(
            CustomerId("c"), RouteName("r"), IdempotencyKey(f"key {number}")
        )
        request = ServiceRequest("POST", "/", [], b"")
        operation = Claimed(key, RequestId(f"r{number}"), b"", PRIMARY, request)
        self.primary.propose(operation, self.now)
        self.proposed_at[number] = self.now

    def _pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 3)
            if round(self.now / STEP_S) % TICK_STEPS == 0:
                for replica in self.replicas.values():
                    replica.tick(self.now)
            self._deliver()

    def _deliver(self) -> None:
        self._collect()
        while due := [item for item in self.under_way if item[0] <= self.now]:
            self.under_way = [item for item in self.under_way if item[0] > self.now]
            for _, sender, send in due:
                self.replicas[send.to].receive(sender, send.message, self.now)
            self._collect()
        for sequence in self.proposed_at:
            if sequence <= self.primary.committed:
                self.committed_at.setdefault(sequence, self.now)

    def _collect(self) -> None:
        for name, replica in self.replicas.items():
            actions, replica.actions = replica.actions, []
            for action in actions:
                if isinstance(action, Send) and not self._is_lost(action):
                    self.under_way.append((self.now + self.delay_s, name, action))

    def _is_lost(self, send: Send) -> bool:
        if not isinstance(send.message, Prepare):
            return False
        sequence = send.message.sequence
        self.sent[sequence] += 1
        return sequence == LOST_WRITE and self.sent[sequence] <= self.losses
