"""Gather the parts of a process that requests use."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from burdockwall.connection.endpoints import EndpointClients
from burdockwall.process.admission.gate import AdmissionGate
from burdockwall.process.admission.queue import AdmissionQueue
from burdockwall.process.host import Host
from burdockwall.process.limits.client import LimitClient
from burdockwall.process.limits.retries import RetryGate, create_retry_policy
from burdockwall.process.programs.records import ProgramTable
from burdockwall.process.scheduling.dispatcher import Dispatcher
from burdockwall.process.scheduling.policy import create_policy
from burdockwall.request.streams import StreamTable
from burdockwall.settings import Settings


@dataclass(frozen=True, slots=True)
class Parts:
    """Hold what every request of a process shares."""

    settings: Settings
    clock: Callable[[], float]
    programs: ProgramTable
    limits: LimitClient
    dispatcher: Dispatcher
    admission: AdmissionGate
    clients: EndpointClients
    streams: StreamTable
    retries: RetryGate


def create_parts(settings: Settings, host: Host) -> Parts:
    """Create the parts of one process from its settings."""
    clock = host.clock
    generator = random.Random()
    dispatcher = Dispatcher(
        create_policy(settings),
        settings.failure_domain,
        settings.schedule_queue_limit_s,
        clock,
        generator,
    )
    waiting = AdmissionQueue(settings.admission_limit, settings.admission_reserve)
    return Parts(
        settings=settings,
        clock=clock,
        programs=ProgramTable(),
        limits=LimitClient(host, settings, host.bus.incarnation, generator),
        dispatcher=dispatcher,
        admission=AdmissionGate(waiting, dispatcher, clock),
        clients=EndpointClients(
            settings.endpoint_connect_s, settings.endpoint_silence_s
        ),
        streams=StreamTable(settings.abandon_grace_s, settings.stream_keep_s, clock),
        retries=RetryGate(create_retry_policy(settings), clock, generator),
    )
