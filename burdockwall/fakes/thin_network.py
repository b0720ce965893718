"""Simulate a network whose instances have links of limited rates."""

from burdockwall.connection.message_queue import measure_bytes
from burdockwall.fakes.network import FakeNetwork, NetworkConditions, Perform
from burdockwall.machine import Send
from burdockwall.types import InstanceId

BITS_PER_BYTE = 8
MBIT = 1_000_000


class ThinNetwork(FakeNetwork):
    """Network in which what an instance sends or receives waits for its link.

    `sent_bytes` counts what each instance has sent.
    """

    def __init__(
        self, seed: int, conditions: NetworkConditions, perform: Perform
    ) -> None:
        super().__init__(seed, conditions, perform)
        self.sent_bytes: dict[InstanceId, int] = {}
        self._bytes_per_s: dict[InstanceId, float] = {}
        self._sends_until: dict[InstanceId, float] = {}
        self._receives_until: dict[InstanceId, float] = {}

    def set_rate(self, instance: InstanceId, mbit_per_s: float) -> None:
        """Set the rate of an instance's link, in each direction."""
        self._bytes_per_s[instance] = mbit_per_s * MBIT / BITS_PER_BYTE

    def send(self, sender: InstanceId, action: Send) -> None:
        """Send a message after what waits for the two links before it."""
        to = action.to
        if to == sender or to not in self._bytes_per_s:
            super().send(sender, action)
            return
        size = measure_bytes(action.message)
        self.sent_messages += 1
        self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        begins_at = max(self.now, self._sends_until.get(sender, 0.0))
        takes_s = size / self._bytes_per_s[sender]
        self._sends_until[sender] = begins_at + takes_s
        if self.random.random() < self.conditions.loss_probability:
            return
        delay_s = self.random.uniform(
            self.conditions.delay_min_s, self.conditions.delay_max_s
        )
        # The first bytes arrive while the last ones are still being sent.
        arrives_at = max(begins_at + delay_s, self._receives_until.get(to, 0.0))
        slower_s = max(takes_s, size / self._bytes_per_s[to])
        self._receives_until[to] = arrives_at + slower_s
        due_s = arrives_at + slower_s - self.now
        self.schedule(due_s, lambda: self._deliver(sender, action))
