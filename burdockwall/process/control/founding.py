"""Found the cluster of a fleet with seeds, with the same first voters on each seed."""

import hashlib

from burdockwall.process.control.entries import (
    Entry,
    HardState,
    Member,
    Membership,
    MembershipChange,
    VoterId,
)
from burdockwall.process.control.records import Record
from burdockwall.settings import Settings
from burdockwall.types import Address, InstanceId, Term

FOUNDER_SUFFIX = "first"
CLUSTER_BYTES = 4
# Two voters bear no more losses than one; fewer than three are not founded together.
MIN_FOUNDERS = 3


def list_seeds(settings: Settings) -> list[InstanceId]:
    """List the seeds by peer address; all instances use the same peer port."""
    port = settings.peer_address.rpartition(":")[2]
    hosts = [seed.rpartition(":")[0] for seed in settings.seeds]
    return [InstanceId(f"{host}:{port}") for host in hosts]


def name_founder(instance: InstanceId) -> VoterId:
    """Return the identity of a seed's replica from the first start of the system."""
    return VoterId(f"{instance}.{FOUNDER_SUFFIX}")


def list_founders(settings: Settings) -> tuple[Member, ...]:
    """List the first voters: all seeds, or the lowest of fewer than three.

    Every seed builds the same list from the settings of the first start.
    """
    seeds = sorted(zip(list_seeds(settings), settings.seeds, strict=True))
    if len(seeds) < MIN_FOUNDERS:
        seeds = seeds[:1]
    return tuple(_create_founder(instance, address) for instance, address in seeds)


def _create_founder(instance: InstanceId, operator_address: Address) -> Member:
    return Member(
        voter=name_founder(instance),
        instance=instance,
        peer_address=Address(instance),
        operator_address=operator_address,
        voting=True,
        awaited=True,
    )


def is_founder(settings: Settings) -> bool:
    """Return whether this instance, which has no replica yet, founds the cluster."""
    founders = [member.instance for member in list_founders(settings)]
    return settings.first_start and settings.instance_id in founders


def build_founding_records(settings: Settings) -> list[Record]:
    """Build the first records of each founder."""
    founders = list_founders(settings)
    names = " ".join(member.voter for member in founders)
    cluster = hashlib.blake2b(names.encode(), digest_size=CLUSTER_BYTES).hexdigest()
    change = MembershipChange(Membership(founders))
    return [HardState(cluster), Entry(Term(0), 1, change)]
