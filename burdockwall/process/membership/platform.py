"""Read the platform's lagging list of live and leaving instances and endpoints."""

import msgspec

from burdockwall.types import EndpointId, EndpointState, InstanceId


class PlatformList(msgspec.Struct, frozen=True):
    """Hold what the platform last published; absent names are gone."""

    instances: dict[InstanceId, EndpointState] = {}
    endpoints: dict[EndpointId, EndpointState] = {}
