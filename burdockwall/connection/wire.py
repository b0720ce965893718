"""Encode the messages between instances as MessagePack."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from burdockwall.process.control import copier, messages as control
from burdockwall.process.endpoint_limits import messages as endpoint_limits
from burdockwall.process.endpoints import EndpointList
from burdockwall.process.limits import messages as limits
from burdockwall.process.membership import messages as membership
from burdockwall.process.programs.messages import AnyRecordMessage
from burdockwall.process.storage.messages import AnyStorageMessage
from burdockwall.types import Incarnation, InstanceId

AnyMessage = (
    control.AskPreVote
    | control.AnswerPreVote
    | control.AskVote
    | control.AnswerVote
    | control.Append
    | control.AnswerAppend
    | control.SendSnapshot
    | control.AnswerSnapshot
    | control.AskJoin
    | copier.AskAudit
    | copier.AnswerAudit
    | limits.LimitDemand
    | limits.LimitGrants
    | limits.LimitRecall
    | membership.Heartbeat
    | membership.Report
    | membership.Grant
    | membership.NotLeader
    | membership.StateChanges
    | membership.StateSnapshot
    | membership.MemberChanges
    | membership.MemberSnapshot
    | membership.Probe
    | membership.ProbeResult
    | membership.Ping
    | membership.Pong
    | membership.Release
    | membership.Released
    | membership.CopyDone
    | AnyRecordMessage
    | AnyStorageMessage
    | EndpointList
    | endpoint_limits.AskPermits
    | endpoint_limits.GrantPermits
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one incarnation of an instance.

    `count` is the number of messages sent on the connection so far, including this
    batch.
    """

    sender: InstanceId
    incarnation: Incarnation
    count: int
    messages: list[AnyMessage]


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """The number of messages that have arrived on the connection."""

    count: int


class MessagePackCodec(CodecBase):
    """The grpclib codec of envelopes and acknowledgements."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {
            kind: msgspec.msgpack.Decoder(kind) for kind in (Envelope, Acknowledgement)
        }

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a struct of the given type."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a struct of the given type."""
        return self._decoders[message_type].decode(data)
