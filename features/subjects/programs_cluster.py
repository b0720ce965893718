"""Run record stores of several instances on a virtual clock under faults."""

from burdockwall.fakes.network import FakeNetwork, NetworkConditions
from burdockwall.process.programs.program_tree import Limits
from burdockwall.process.programs.replica import SendAccepted
from burdockwall.process.programs.requester import (
    REQUESTER_MESSAGES,
    AbandonCall,
    CompleteCall,
    RecordRequester,
    RevokeCall,
    StartCall,
    StartRenewing,
    StopRenewing,
)
from burdockwall.process.programs.store import STORE_MESSAGES, RecordStore
from burdockwall.process.programs.unrepeatable import NoAnswerError
from burdockwall.types import (
    FencingNumber,
    Incarnation,
    InstanceId,
    RequestId,
    ShardId,
)
from burdockwall.version.shards import (
    CopyConfirmed,
    LeaseRenewed,
    ShardMap,
    ShardsInstalled,
    ShardView,
)

DOMAINS = ("a", "b", "c")
LEASE_S = 1.0
BEAT_S = 0.2
ASK_TIMEOUT_S = 4.0


class Future:
    """Hold a value that a task on the virtual clock awaits."""

    def __init__(self):
        self.done = False
        self.value = None
        self.error = None
        self.wake = None

    def set(self, value=None, error=None):
        if self.done:
            return
        self.done, self.value, self.error = True, value, error
        if self.wake:
            self.wake()

    def __await__(self):
        if not self.done:
            yield self
        if self.error is not None:
            raise self.error
        return self.value


class Task:
    """Step a coroutine as its futures complete; stop when its instance dies."""

    def __init__(self, coroutine, alive):
        self.coroutine = coroutine
        self.alive = alive
        self.step()

    def step(self):
        if not self.alive():
            return
        try:
            future = self.coroutine.send(None)
        except StopIteration:
            return
        future.wake = self.step


class Cluster:
    """Hold instances in three failure domains and assign their views."""

    def __init__(self, seed, shards, per_domain=2, copies=3, limits=None, **options):
        late = options.get("late", 0.02)
        weather = NetworkConditions(
            loss_probability=0.02,
            duplicate_probability=0.05,
            late_probability=late,
            late_max_s=3.0,
        )
        self.network = FakeNetwork(seed, weather, self.perform)
        self.random = self.network.random
        self.limits = limits or Limits(
            call_lease_s=2.0, grace_s=60.0, lease_s=600.0, retention_s=600.0
        )
        self.store_type = options.get("store_type", RecordStore)
        self.copies = copies
        self.domains = {
            InstanceId(f"{domain}{number}"): domain
            for domain in DOMAINS
            for number in range(per_domain)
        }
        self.stores = {}
        self.requesters = {}
        self.futures = {}
        self.revoked = {}
        self.lives = dict.fromkeys(self.domains, 0)
        self.granted = dict.fromkeys(self.domains, 0.0)
        self.views = {}
        self.tasks = []
        self.on_accepted = lambda instance, record: None
        self.ask_timeout_s = options.get("ask_timeout_s", ASK_TIMEOUT_S)
        self.trust_reports = options.get("trust_reports", True)
        for instance in self.domains:
            self.start(instance)
        for shard in shards:
            self.views[shard] = self.assign_first(shard)
        self.network.schedule(0.0, self.beat)
        self._token = 0

    @property
    def now(self):
        return self.network.now

    def is_up(self, instance, life=None):
        node = self.network.nodes[instance]
        return node.up and life in (None, self.lives[instance])

    def list_up(self):
        return [item for item in self.domains if self.network.nodes[item].up]

    # Instances.

    def start(self, instance):
        self.lives[instance] += 1
        store = self.store_type(
            instance, Incarnation(self.lives[instance]), self.limits
        )
        requester = RecordRequester(f"{instance}.{self.lives[instance]}")
        self.stores[instance], self.requesters[instance] = store, requester
        machines = [(store, STORE_MESSAGES), (requester, REQUESTER_MESSAGES)]
        self.network.start(instance, machines, 0.1)

    def crash(self, instance):
        self.network.crash(instance)

    def restart(self, instance):
        if not self.network.nodes[instance].up:
            self.start(instance)

    def perform(self, instance, action, now):
        match action:
            case CompleteCall(token=token, answer=answer):
                future = self.futures.pop(token, None)
                if future is not None:
                    future.set(answer)
            case RevokeCall(request=request):
                self.revoked[request] = now
            case CopyConfirmed():
                if self.is_connected(instance):
                    life = self.lives[action.instance]
                    report = (action, life)
                    self.network.schedule(0.01, lambda: self.take_report(*report))
            case SendAccepted(record=record):
                self.on_accepted(instance, record)

    # Calls of tasks.

    def spawn(self, instance, coroutine):
        life = self.lives[instance]
        task = Task(coroutine, lambda: self.is_up(instance, life))
        self.tasks.append(task)
        return task

    def close(self):
        for task in self.tasks:
            task.coroutine.close()

    def pause(self, delay_s):
        future = Future()
        self.network.schedule(delay_s, future.set)
        return future

    async def ask(self, instance, shard, call):
        self._token += 1
        token = RequestId(f"{instance}.{self.lives[instance]}.{self._token}")
        future = Future()
        self.futures[token] = future

        def expire():
            if self.futures.pop(token, None) is not None:
                requester = self.requesters[instance]
                self.network.apply(instance, requester, AbandonCall(token))
                future.set(error=NoAnswerError())

        self.network.schedule(self.ask_timeout_s, expire)
        requester = self.requesters[instance]
        self.network.apply(instance, requester, StartCall(token, shard, call))
        return await future

    def hold(self, instance, request, shard):
        self.network.apply(
            instance, self.requesters[instance], StartRenewing(request, shard)
        )

    def release(self, instance, request):
        self.network.apply(instance, self.requesters[instance], StopRenewing(request))

    # Views: the test's own assigner, which sees faults at the next beat.

    def is_connected(self, instance):
        cuts = sum(1 for pair in self.network.cut_links if instance in pair)
        return self.is_up(instance) and cuts < 2 * (len(self.domains) - 1)

    def assign_first(self, shard):
        chosen = []
        start = int(shard) % len(self.domains)
        names = list(self.domains)
        for name in names[start:] + names[:start]:
            if self.domains[name] not in [self.domains[item] for item in chosen]:
                chosen.append(name)
        chosen = chosen[: self.copies]
        lives = {item: self.lives[item] for item in chosen}
        return (build_view(shard, 1, chosen, [], lives), lives, 0.0)

    def beat(self):
        for instance in self.domains:
            if not self.is_connected(instance):
                continue
            self.granted[instance] = self.now + LEASE_S
            shard_map = ShardMap(
                {
                    shard: view
                    for shard, (view, _, since) in self.views.items()
                    if since <= self.now
                }
            )
            until = self.network.read_clock(instance) + LEASE_S
            store, requester = self.stores[instance], self.requesters[instance]
            self.network.apply(instance, store, LeaseRenewed(until))
            self.network.apply(instance, store, ShardsInstalled(shard_map))
            self.network.apply(instance, requester, ShardsInstalled(shard_map))
        for shard in self.views:
            self.reassign(shard)
        self.network.schedule(BEAT_S, self.beat)

    def is_good(self, instance, life):
        if self.lives[instance] != life:
            return False
        if self.is_connected(instance):
            return True
        return self.now < self.granted[instance]

    def reassign(self, shard):
        view, lives, since = self.views[shard]
        if since > self.now:
            return
        full = [view.primary, *view.backups]
        good = [item for item in full if self.is_good(item, lives[item])]
        if not good:
            return
        joining = [item for item in view.joining if self.is_good(item, lives[item])]
        wanted = self.copies - len(good) - len(joining)
        used = {self.domains[item] for item in [*good, *joining]}
        for item in self.domains:
            if wanted <= 0:
                break
            if not self.is_connected(item) or self.domains[item] in used:
                continue
            used.add(self.domains[item])
            joining.append(item)
            wanted -= 1
        same = all(lives[item] == self.lives[item] for item in view.joining)
        if good == full and joining == list(view.joining) and same:
            return
        self.set_view(shard, good, joining, lives)

    def set_view(self, shard, full, joining, lives):
        view, _, _ = self.views[shard]
        since = self.now
        if full[0] != view.primary:
            since = max(since, self.granted[view.primary] + 0.05)
        kept = {item: lives.get(item, self.lives[item]) for item in [*full, *joining]}
        kept.update({item: self.lives[item] for item in joining})
        new = build_view(shard, view.number + 1, full, joining, kept)
        self.views[shard] = (new, kept, since)

    def take_report(self, report, life):
        view, lives, _ = self.views[report.shard]
        if report.number != view.number or report.instance not in view.joining:
            return
        if lives[report.instance] != life and self.trust_reports:
            return
        full = [view.primary, *view.backups, report.instance]
        joining = [item for item in view.joining if item != report.instance]
        self.set_view(report.shard, full, joining, lives)

    def is_repaired(self):
        for view, lives, since in self.views.values():
            full = [view.primary, *view.backups]
            if since > self.now or view.joining or len(full) < self.copies:
                return False
            if not all(self.is_up(item, lives[item]) for item in full):
                return False
            if not all(self.is_connected(item) for item in full):
                return False
            replica = self.stores[view.primary].replicas.get(view.shard)
            if replica is None or not replica.serving:
                return False
        return True

    def get_shard(self, key):
        names = sorted(self.views)
        return names[hash_key(key) % len(names)]


def build_view(shard, number, full, joining, lives):
    return ShardView(
        shard,
        FencingNumber(number),
        full[0],
        tuple(full[1:]),
        tuple(joining),
        tuple(Incarnation(lives[item]) for item in [*full, *joining]),
    )


def hash_key(key):
    # The text decides a key's shard, and with it the course of every seed: it holds
    # the names of the classes as they were when the seeds' counts were set.
    text = str(key).replace("ProgramTreeKey(", "FamilyKey(")
    return sum(text.encode()) % 9973


def create_shards(count):
    return [ShardId(number) for number in range(count)]
