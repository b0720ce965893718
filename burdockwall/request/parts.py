"""The components of a process that its requests share."""

import random
from collections.abc import Callable

import msgspec

from burdockwall.connection.endpoints import EndpointClients
from burdockwall.process.admission.gate import AdmissionGate
from burdockwall.process.admission.queue import AdmissionQueue
from burdockwall.process.crashes.client import CrashSuspects
from burdockwall.process.crashes.evidence import CrashEvidence
from burdockwall.process.endpoint_limits.client import EndpointLimits
from burdockwall.process.endpoint_reach import EndpointReach
from burdockwall.process.host import Host
from burdockwall.process.limits.client import LimitClient
from burdockwall.process.limits.retries import RetryGate, create_retry_policy
from burdockwall.process.programs.client import RecordClient
from burdockwall.process.programs.program_tree import Limits, ProgramEnded
from burdockwall.process.programs.programs import Programs
from burdockwall.process.programs.reclaimer import Reclaimer
from burdockwall.process.scheduling.dispatcher import Dispatcher
from burdockwall.process.scheduling.policy import create_policy
from burdockwall.process.scheduling.reports import CacheKey
from burdockwall.request.streams import StreamTable
from burdockwall.settings import Settings


class Parts(msgspec.Struct, frozen=True):
    """The components that all requests of a process share."""

    settings: Settings
    clock: Callable[[], float]
    programs: Programs
    reclaimer: Reclaimer
    limits: LimitClient
    dispatcher: Dispatcher
    admission: AdmissionGate
    clients: EndpointClients
    streams: StreamTable
    retries: RetryGate
    endpoint_limits: EndpointLimits
    reach: EndpointReach
    crashes: CrashSuspects


def create_limits(settings: Settings) -> Limits:
    """Create the limits of program records from the settings."""
    return Limits(
        depth=settings.program_depth,
        fan_out=settings.program_fan_out,
        programs_per_tree=settings.program_family,
        turns=settings.program_turns,
        history_bytes=settings.program_history_bytes,
        lease_s=settings.program_lease_s,
        grace_s=settings.program_grace_s,
        retention_s=settings.program_retention_s,
        call_lease_s=settings.call_lease_s,
        outcome_retention_s=settings.outcome_retention_s,
        records=settings.shard_records,
        tombstones=settings.shard_tombstones,
    )


def create_parts(settings: Settings, host: Host) -> Parts:
    """Create the components of a process from its settings."""
    clock = host.clock
    generator = random.Random()
    queue = AdmissionQueue(settings.admission_limit, settings.admission_reserve)
    client = RecordClient(host, host.bus.incarnation, create_limits(settings))
    endpoint_limits = EndpointLimits(host, host.bus.incarnation)
    clients = EndpointClients(
        settings.endpoint_connect_s,
        settings.endpoint_silence_s,
        endpoint_limits.observe,
    )
    reach = EndpointReach(host, clients, lambda cut_off: None)
    clients.observer = reach
    evidence = CrashEvidence(clients, reach)
    reclaimer = Reclaimer(settings, client, clients, clock)
    dispatcher = Dispatcher(
        create_policy(settings),
        settings.failure_domain,
        settings.schedule_queue_limit_s,
        clock,
        generator,
        endpoint_limits,
    )

    def end_history(ended: ProgramEnded) -> None:
        reclaimer.release(ended)
        dispatcher.end_history(CacheKey(ended.tag))

    client.on_program_ended = end_history
    return Parts(
        settings=settings,
        clock=clock,
        programs=Programs(client, settings.history_cache_bytes),
        reclaimer=reclaimer,
        limits=LimitClient(host, settings, host.bus.incarnation, generator),
        dispatcher=dispatcher,
        admission=AdmissionGate(queue, dispatcher, clock),
        clients=clients,
        streams=StreamTable(settings.abandon_grace_s, settings.stream_keep_s, clock),
        retries=RetryGate(create_retry_policy(settings), clock, generator),
        endpoint_limits=endpoint_limits,
        reach=reach,
        crashes=CrashSuspects(host, evidence, settings.instance_id),
    )
