"""Define the messages by which instances follow the control state."""

from burdockwall.machine import Message
from burdockwall.types import CustomerId, KeyDigest, Version


class Follow(Message, frozen=True):
    """Ask a control instance for a version later than the one in force."""

    version: Version


class StateSnapshot(Message, frozen=True):
    """Carry one whole version: configuration text and digest to customer."""

    version: Version
    text: str
    keys: dict[KeyDigest, CustomerId]


class StateCurrent(Message, frozen=True):
    """Confirm that the follower runs the latest version."""

    version: Version
