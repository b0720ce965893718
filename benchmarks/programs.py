"""Measure the cost of replicated program records and the savings of reclamation."""

import random
import tracemalloc
from dataclasses import dataclass

import msgspec

from benchmarks._reclamation import measure_reclamation
from benchmarks.result import Result, create_result
from burdockwall.connection.wire import Envelope
from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.machine import Machine, Message, Send
from burdockwall.process.programs import calls, operations
from burdockwall.process.programs.budget import Budget, Spend
from burdockwall.process.programs.history import TurnContent, encode_turn
from burdockwall.process.programs.operations import ProgramTreeKey
from burdockwall.process.programs.program_tree import Limits
from burdockwall.process.programs.requester import (
    REQUESTER_MESSAGES,
    CompleteCall,
    RecordRequester,
    StartCall,
)
from burdockwall.process.programs.state import ShardState
from burdockwall.process.programs.store import STORE_MESSAGES, RecordStore
from burdockwall.request.completion import ChatMessage
from burdockwall.types import (
    CustomerId,
    EndpointId,
    FencingNumber,
    Incarnation,
    InstanceId,
    ProgramId,
    RequestId,
    ShardId,
)
from burdockwall.version.shards import (
    LeaseRenewed,
    ShardMap,
    ShardsInstalled,
    ShardView,
)

SEED = 1
TURNS = 50
TARGET_TURNS = 530
TARGET_TOKENS = 270_000
TOKENS_PER_TURN = TARGET_TOKENS // TARGET_TURNS
WORD_COUNT = 4096
PROGRAMS_MOVED = 100
TARGET_PROGRAMS = 160_000
TARGET_INSTANCES = 380
COPIES = 3
SHARD = ShardId(0)
INSTANCES = tuple(InstanceId(f"i{number}") for number in range(4))
FOREVER_S = 1e9


def create_text(generator: random.Random, tokens: int) -> str:
    """Create a text of `tokens` words whose frequencies follow a Pareto law."""
    ranks = [int(generator.paretovariate(1.0)) % WORD_COUNT for _ in range(tokens)]
    return " ".join(f"{rank * 2_654_435_761 % 100_003:x}" for rank in ranks)


def create_content(generator: random.Random) -> bytes:
    """Encode the content of one turn of the target size."""
    question = create_text(generator, TOKENS_PER_TURN // 2)
    answer = create_text(generator, TOKENS_PER_TURN // 2)
    messages = [ChatMessage("user", question)]
    return encode_turn(TurnContent(messages, answer, TOKENS_PER_TURN // 2))


@dataclass(slots=True)
class Traffic:
    """Number and bytes of the messages between instances."""

    messages: int = 0
    size_bytes: int = 0


class ShardCluster:
    """One shard on four instances with a fixed network delay in one direction."""

    def __init__(self, delay_s: float, backups: int) -> None:
        conditions = NetworkConditions(delay_min_s=delay_s, delay_max_s=delay_s)
        self.network = FakeNetwork(SEED, conditions, self._perform)
        self.traffic = Traffic()
        self.answers: dict[RequestId, tuple[calls.AnyAnswer, float]] = {}
        self.stores: dict[InstanceId, RecordStore] = {}
        self.view_number = 0
        self.caller = INSTANCES[3]
        for name in INSTANCES:
            self._start(name)
        self.install_view(INSTANCES[0], INSTANCES[1 : 1 + backups], ())
        self._count_messages()

    def _start(self, name: InstanceId) -> None:
        store = RecordStore(name, Incarnation(1), Limits(lease_s=FOREVER_S))
        self.stores[name] = store
        requester = RecordRequester(name)
        if name == self.caller:
            self.requester = requester
        machines: list[tuple[Machine, tuple[type[Message], ...]]] = [
            (store, STORE_MESSAGES),
            (requester, REQUESTER_MESSAGES),
        ]
        self.network.start(name, machines)
        self.network.apply(name, store, LeaseRenewed(FOREVER_S))

    def _count_messages(self) -> None:
        send = self.network.send

        def count(sender: InstanceId, action: Send) -> None:
            if action.to != sender:
                self.traffic.messages += 1
                self.traffic.size_bytes += measure_bytes(action.message)
            send(sender, action)

        self.network.send = count  # type: ignore[method-assign]

    def install_view(
        self,
        primary: InstanceId,
        backups: tuple[InstanceId, ...],
        joining: tuple[InstanceId, ...],
    ) -> None:
        """Install the next view on every running instance."""
        self.view_number += 1
        view = ShardView(
            SHARD, FencingNumber(self.view_number), primary, backups, joining
        )
        event = ShardsInstalled(ShardMap({SHARD: view}))
        for name, node in self.network.nodes.items():
            if node.up:
                self.network.apply(name, self.stores[name], event)
        self.network.apply(self.caller, self.requester, event)
        self.network.run_until(self.network.now + 1.0)

    def _perform(self, instance: InstanceId, action: object, now: float) -> None:
        if isinstance(action, CompleteCall):
            self.answers[action.token] = (action.answer, now)

    def send_call(self, call: calls.AnyCall) -> tuple[calls.AnyAnswer, float]:
        """Send a call to the primary, and return its answer and its duration in s."""
        token = RequestId(f"t{len(self.answers)}")
        started_at = self.network.now
        self.network.apply(self.caller, self.requester, StartCall(token, SHARD, call))
        while token not in self.answers:
            self.network.run_until(self.network.now + 0.0005)
        answer, answered_at = self.answers[token]
        return answer, answered_at - started_at

    def run_turn(self, program: ProgramId, number: int, content: bytes) -> float:
        """Run one turn of a program, and return the duration of its records in s."""
        key = ProgramTreeKey(CustomerId("association"), program)
        request = RequestId(f"0.{program}.{number}")
        spend = Spend(TOKENS_PER_TURN, 1, 1.0)
        begin = calls.BeginCall(
            key, program, request, number, b"", spend, self.caller, Budget(10**9)
        )
        # An entry that served the previous turn has cached all turns so far.
        cached = msgspec.structs.replace(
            begin, cached_turns=number - 1, cached_tag=f"p-0.{program}.1"
        )
        _, begin_s = self.send_call(cached)
        finish = calls.FinishTurn(
            key, program, request, content, spend, EndpointId("e")
        )
        _, finish_s = self.send_call(finish)
        return begin_s + finish_s


def measure_bytes(message: Message) -> int:
    """Return the size of a message on the wire, in its envelope."""
    return len(msgspec.msgpack.encode(Envelope("", 0, 0, [message])))  # type: ignore[arg-type,list-item]


def measure_turns(delay_ms: float) -> list[Result]:
    """Measure the cost of a turn with three copies of its records and with one."""
    measured = []
    for backups in (0, 2):
        generator = random.Random(SEED)
        cluster = ShardCluster(delay_ms / 1000, backups)
        cluster.traffic.messages = cluster.traffic.size_bytes = 0
        times = [
            cluster.run_turn(ProgramId("p"), number, create_content(generator))
            for number in range(1, TURNS + 1)
        ]
        traffic = cluster.traffic
        measured.append(
            (
                sum(times) / TURNS * 1000,
                traffic.size_bytes / TURNS,
                traffic.messages / TURNS,
            )
        )
    one, three = measured
    name = f"turn at {delay_ms} ms one way"
    # Each of the two writes of a turn waits for one round trip.
    bound_ms = 4 * delay_ms + 0.5
    return [
        create_result(
            f"{name}: added time", three[0] - one[0], "ms", SEED, bound=bound_ms
        ),
        create_result(f"{name}: time of records", three[0], "ms", SEED, one[0]),
        create_result(f"{name}: bytes", three[1], "bytes", SEED, one[1]),
        create_result(f"{name}: messages", three[2], "messages", SEED, one[2]),
    ]


def fill_program(state: ShardState, program: ProgramId, turns: int) -> int:
    """Add a program of some turns to a shard, and return the last sequence number."""
    generator = random.Random(SEED)
    key = ProgramTreeKey(CustomerId("association"), program)
    sequence = 0
    for number in range(1, turns + 1):
        request = RequestId(f"0.{program}.{number}")
        begin = operations.BeganCall(
            key, program, request, number, bytes(32), Spend(), INSTANCES[0], Budget()
        )
        content = create_content(generator)
        finish = operations.FinishedTurn(
            key, program, request, content, Spend(), EndpointId("e")
        )
        state.apply(begin, sequence + 1, 0.0)
        state.apply(finish, sequence + 2, 0.0)
        sequence += 2
    return sequence


def measure_memory() -> list[Result]:
    """Measure the memory of a program at 10, 100 and 530 turns."""
    results = []
    for turns in (10, 100, TARGET_TURNS):
        state = ShardState(Limits())
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        fill_program(state, ProgramId("p"), turns)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        plain_bytes = turns * TOKENS_PER_TURN * 5
        name = f"memory of a program of {turns} turns"
        results.append(
            create_result(
                name, float(after - before), "bytes", SEED, float(plain_bytes)
            )
        )
    program_bytes = results[-1].value
    instance_bytes = program_bytes * TARGET_PROGRAMS * COPIES / TARGET_INSTANCES
    name = "memory an instance if all 160,000 programs were full"
    results.append(create_result(name, instance_bytes, "bytes", SEED))
    return results


def measure_move(delay_ms: float) -> list[Result]:
    """Measure the replacement of a crashed primary and the copy to a new instance."""
    cluster = ShardCluster(delay_ms / 1000, 2)
    generator = random.Random(SEED)
    contents = [create_content(generator) for _ in range(20)]
    for index in range(PROGRAMS_MOVED):
        for number, content in enumerate(contents, 1):
            cluster.run_turn(ProgramId(f"p{index}"), number, content)
    cluster.network.crash(INSTANCES[0])
    cluster.traffic.messages = cluster.traffic.size_bytes = 0
    crashed_at = cluster.network.now
    first_answer_s = _replace_primary(cluster)
    copied_s = cluster.network.now - crashed_at
    copy = cluster.stores[INSTANCES[3]].replicas[SHARD]
    assert copy.has_shard and len(copy.state.trees) == PROGRAMS_MOVED
    name = f"move {PROGRAMS_MOVED} programs of 20 turns at {delay_ms} ms"
    return [
        create_result(f"{name}: first answer", first_answer_s * 1000, "ms", SEED),
        create_result(f"{name}: whole again", copied_s, "s", SEED),
        create_result(
            f"{name}: bytes a program",
            cluster.traffic.size_bytes / PROGRAMS_MOVED,
            "bytes",
            SEED,
        ),
    ]


def _replace_primary(cluster: ShardCluster) -> float:
    started_at = cluster.network.now
    cluster.view_number += 1
    view = ShardView(
        SHARD,
        FencingNumber(cluster.view_number),
        INSTANCES[1],
        (INSTANCES[2],),
        (INSTANCES[3],),
    )
    event = ShardsInstalled(ShardMap({SHARD: view}))
    for name in INSTANCES[1:]:
        cluster.network.apply(name, cluster.stores[name], event)
    cluster.network.apply(cluster.caller, cluster.requester, event)
    read = calls.ReadProgram(
        ProgramTreeKey(CustomerId("association"), ProgramId("p0")), ProgramId("p0")
    )
    cluster.send_call(read)
    answered_s = cluster.network.now - started_at
    while not cluster.stores[INSTANCES[3]].replicas[SHARD].has_shard:
        cluster.network.run_until(cluster.network.now + 0.001)
    return answered_s


def measure() -> list[Result]:
    """Run all measurements of program records."""
    results = []
    for delay_ms in (1.5, 1.0):
        results += measure_turns(delay_ms)
    results += measure_memory()
    results += measure_move(1.5)
    results += measure_reclamation()
    return results
