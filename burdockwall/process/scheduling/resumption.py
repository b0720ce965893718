"""Decide where a stream that a caller takes up may go on.

Made for endpoints of several software versions side by side, as during a release: what
two versions write does not fit together, and endpoints do not check it. A stream goes
on only at the service and version that began it. The stores know them; if they do not,
the version is certain only where a service has had a single one for long enough.
"""

from enum import Enum

import msgspec

from burdockwall.process.sole_versions import SoleVersion
from burdockwall.process.storage.messages import StreamPlace
from burdockwall.types import ServiceName, SoftwareVersion


class Basis(Enum):
    """Why a version is taken for the one that began a stream."""

    RECORDED = "recorded"
    SOLE_VERSION = "sole version"


class ResumePlace(msgspec.Struct, frozen=True):
    """The service and software version at which a stream may go on."""

    service: ServiceName
    software: SoftwareVersion
    basis: Basis


def decide_resume_place(
    recorded: StreamPlace | None,
    allowed: frozenset[ServiceName],
    likely: ServiceName,
    sole_version: SoftwareVersion | None,
) -> ResumePlace | None:
    """Return the place at which a stream may go on, or None if it is not certain.

    `allowed` are the services of the route. `likely` is the one that its shares give to
    the request that began the stream, and `sole_version` the only version that this
    service has had for longer than a stream lasts, or None if there were several.
    """
    if recorded is not None and recorded.service not in allowed:
        return None
    # An instance that had no versions in its list recorded an empty one.
    if recorded is not None and recorded.software:
        return ResumePlace(recorded.service, recorded.software, Basis.RECORDED)
    if sole_version is None or (recorded and recorded.service != likely):
        return None
    return ResumePlace(likely, sole_version, Basis.SOLE_VERSION)


def decide_sole_version(
    listed: SoftwareVersion, confirmed: SoleVersion | None, since: float
) -> SoftwareVersion | None:
    """Return the only version that a service has had since a time, or None.

    `listed` is the one by this instance's lists, and `confirmed` what a leader said
    about its own after it was asked, or None if no leader has answered.
    """
    if confirmed is None or confirmed.since > since:
        return None
    return listed if confirmed.software == listed else None
