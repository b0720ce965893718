"""Create or open the replica in a data folder."""

import random
import secrets

import msgspec

from burdockwall.errors import Code, OperatorError
from burdockwall.process.control.archive import AuditArchive
from burdockwall.process.control.consensus import Consensus
from burdockwall.process.control.consensus_state import Timing
from burdockwall.process.control.entries import HardState, Member, VoterId
from burdockwall.process.control.events import Recovered
from burdockwall.process.control.files import DiskFiles, Files, StorageError
from burdockwall.process.control.founding import (
    build_founding_records,
    is_founder,
    list_seeds,
    name_founder,
)
from burdockwall.process.control.journal import (
    Identity,
    Journal,
    build_first_records,
    replay_records,
)
from burdockwall.process.control.records import Record
from burdockwall.process.control.redundancy import LossBounds
from burdockwall.process.control.replica import MemoryStorage, Replica
from burdockwall.process.control.state import ControlState
from burdockwall.process.control.voters import VoterPolicy
from burdockwall.settings import Settings
from burdockwall.types import InstanceId

SUFFIX_BYTES = 4
# With seeds set, machines are replaced within seconds; replace silent voters early.
SEEDED_REPLACE_SILENCE_S = 1.5


def create_member(settings: Settings, voter: VoterId) -> Member:
    """Create the member entry of this instance from its settings."""
    return Member(
        voter=voter,
        instance=settings.instance_id,
        peer_address=settings.peer_address,
        operator_address=settings.operator_address,
    )


def list_contacts(settings: Settings) -> list[InstanceId]:
    """List the instances that may hold a replica or know the ones that do."""
    if settings.seeds:
        return list_seeds(settings)
    return settings.control_instances or [settings.instance_id]


def prepare_replica(settings: Settings) -> None:
    """Create the replica of an instance that has none, if seeds are set.

    At the first start of the whole system the seeds are the first voters and the
    others join them. Later, an instance with an empty disk joins under a new identity.
    """
    files = open_files(settings)
    try:
        prepare_files(settings, files)
    finally:
        files.close()


def prepare_files(settings: Settings, files: Files) -> None:
    """Create the files of the replica of an instance, unless there are some."""
    journal = Journal(files)
    if journal.read_identity() is not None:
        return
    if not is_founder(settings):
        _create_identity(settings, files, bootstrap=False)
        return
    identity = Identity(name_founder(settings.instance_id), settings.instance_id)
    journal.create(identity, build_founding_records(settings))


def create_voter_policy(settings: Settings) -> VoterPolicy | None:
    """Create the policy of a fleet with seeds, or None if voters are configured.

    There are as many voters as seeds, or more where a majority would not remain after
    the tolerated losses.
    """
    if not settings.seeds:
        return None
    bounds = LossBounds(settings.tolerated_losses, len(settings.seeds))
    max_voters = max(bounds.seeds, bounds.needed_voters)
    return VoterPolicy(None, max_voters, SEEDED_REPLACE_SILENCE_S, bounds)


def open_files(settings: Settings) -> DiskFiles:
    """Open the data folder, or raise OperatorError if none is set."""
    if settings.data_folder is None:
        raise OperatorError(Code.SETTINGS_INVALID, "[instance] data_folder is not set")
    return DiskFiles(settings.data_folder)


def _create_identity(settings: Settings, files: Files, bootstrap: bool) -> Identity:
    journal = Journal(files)
    if journal.read_identity() is not None:
        detail = f"{settings.data_folder} holds a replica already"
        raise StorageError(Code.IDENTITY_OTHER, detail)
    suffix = secrets.token_hex(SUFFIX_BYTES)
    voter = VoterId(f"{settings.instance_id}.{suffix}")
    records: list[Record] = [HardState()]
    if bootstrap:
        member = create_member(settings, voter)
        records = build_first_records(secrets.token_hex(SUFFIX_BYTES), member)
    identity = Identity(voter, settings.instance_id)
    journal.create(identity, records)
    return identity


def bootstrap_replica(settings: Settings) -> Identity:
    """Create a new cluster in the data folder, with this replica as its only voter."""
    files = open_files(settings)
    try:
        return _create_identity(settings, files, bootstrap=True)
    finally:
        files.close()


def join_replica(settings: Settings) -> Identity:
    """Create a replica in the data folder that will ask to join a cluster."""
    files = open_files(settings)
    try:
        return _create_identity(settings, files, bootstrap=False)
    finally:
        files.close()


def open_replica(settings: Settings, state: ControlState) -> Replica:
    """Open the replica of an instance, in memory if it has no data folder."""
    if settings.data_folder is None:
        return _open_in_memory(settings, state)
    files = DiskFiles(settings.data_folder)
    journal = Journal(files)
    identity = journal.read_identity()
    if identity is None:
        detail = (
            f"{settings.data_folder} holds no replica. For a new cluster run "
            "`burdockwall control bootstrap` on one instance; on another, or where "
            "a disk was lost, run `burdockwall control join`."
        )
        raise StorageError(Code.IDENTITY_LOST, detail)
    if identity.instance != settings.instance_id:
        detail = f"{settings.data_folder} belongs to instance {identity.instance}"
        raise StorageError(Code.IDENTITY_OTHER, detail)
    recovered = journal.recover()
    consensus = create_consensus(settings, identity.voter, recovered)
    archive = AuditArchive(files)
    return Replica(consensus, journal, state, recovered, archive)


def _open_in_memory(settings: Settings, state: ControlState) -> Replica:
    if list_contacts(settings) != [settings.instance_id]:
        detail = "[instance] data_folder must be set where several hold the state"
        raise OperatorError(Code.SETTINGS_INVALID, detail)
    voter = VoterId(f"{settings.instance_id}.memory")
    records = build_first_records("memory", create_member(settings, voter))
    replayed = replay_records(records)
    recovered = Recovered(replayed.hard_state, None, tuple(replayed.entries))
    consensus = create_consensus(settings, voter, recovered)
    return Replica(consensus, MemoryStorage(), state, recovered)


def create_consensus(
    settings: Settings, voter: VoterId, recovered: Recovered
) -> Consensus:
    """Create the consensus of a replica from its settings and what was recovered."""
    seed = msgspec.msgpack.encode((voter, recovered.hard_state))
    return Consensus(
        create_member(settings, voter),
        recovered,
        list_contacts(settings),
        random.Random(seed),
        Timing(settings.election_timeout_s, settings.election_timeout_s / 5),
        policy=create_voter_policy(settings),
    )
