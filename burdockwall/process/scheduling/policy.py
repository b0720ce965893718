"""The parameters of the scheduling policies."""

from enum import Enum

import msgspec

from burdockwall.settings import Settings


class Routing(Enum):
    """How an endpoint is chosen."""

    AFFINITY = "affinity"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"


class QueueOrder(Enum):
    """How waiting jobs are ordered."""

    ATTAINED_SERVICE = "attained_service"
    PROGRAM_FCFS = "program_fcfs"
    FCFS = "fcfs"


class Window(Enum):
    """How the number of calls that an instance may run at an endpoint is set.

    SHARED follows the endpoint's load reports, SPLIT gives every instance an even part
    of the endpoint's calls.
    """

    SHARED = "shared"
    SPLIT = "split"
    UNLIMITED = "unlimited"


class Policy(msgspec.Struct, frozen=True):
    """The parameters of scheduling; times in seconds, costs in engine seconds.

    The cost of an endpoint increases by `load_call_s` per call that it has, and by
    `far_s` if it is in another failure domain.
    """

    routing: Routing = Routing.AFFINITY
    order: QueueOrder = QueueOrder.ATTAINED_SERVICE
    window: Window = Window.SHARED
    endpoint_calls: int = 24
    claim_factor: float = 2.0
    instances: int = 6
    pass_priorities: bool = True
    release_cache: bool = True
    prefill_token_s: float = 0.000125
    move_token_s: float = 0.00001
    output_token_s: float = 0.002
    load_call_s: float = 0.05
    far_s: float = 0.003
    ageing_s: float = 20.0
    ageing_every: int = 8
    service_quantum_s: float = 0.5
    requeue_s: float = 0.5
    prefix_records: int = 20_000
    prefix_doubt_s: float = 120.0
    pause_hold_s: float = 30.0
    failures_to_eject: int = 3
    slow_ratio: float = 3.0
    slow_samples: int = 10
    eject_s: float = 5.0
    eject_limit_s: float = 60.0
    ejected_share: float = 0.5
    probe_calls: int = 1


def create_policy(settings: Settings) -> Policy:
    """Create the policy from the settings."""
    return Policy(
        routing=Routing(settings.schedule_routing),
        order=QueueOrder(settings.schedule_order),
        window=Window(settings.schedule_window),
        endpoint_calls=settings.schedule_endpoint_calls,
        claim_factor=settings.schedule_claim_factor,
        instances=settings.schedule_instances,
        pass_priorities=settings.schedule_pass_priorities,
        release_cache=settings.schedule_release_cache,
        prefill_token_s=settings.schedule_prefill_token_s,
        move_token_s=settings.schedule_move_token_s,
        output_token_s=settings.schedule_output_token_s,
        load_call_s=settings.schedule_load_call_s,
        far_s=settings.schedule_far_s,
        ageing_s=settings.schedule_ageing_s,
        ageing_every=settings.schedule_ageing_every,
        service_quantum_s=settings.schedule_service_quantum_s,
        requeue_s=settings.schedule_requeue_s,
        prefix_records=settings.schedule_prefix_records,
        prefix_doubt_s=settings.schedule_prefix_doubt_s,
        pause_hold_s=settings.schedule_pause_hold_s,
        failures_to_eject=settings.schedule_failures_to_eject,
        slow_ratio=settings.schedule_slow_ratio,
        slow_samples=settings.schedule_slow_samples,
        eject_s=settings.schedule_eject_s,
        eject_limit_s=settings.schedule_eject_limit_s,
        ejected_share=settings.schedule_ejected_share,
    )
