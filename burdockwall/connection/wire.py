"""Encode the messages between instances as MessagePack."""

from typing import Any

import logbook
import msgspec
from grpclib.encoding.base import CodecBase

from burdockwall.process.control import copier, messages as control
from burdockwall.process.crashes.messages import AskSuspects, ShareSuspects
from burdockwall.process.endpoint_limits import messages as endpoint_limits
from burdockwall.process.endpoints import EndpointList
from burdockwall.process.limits import messages as limits
from burdockwall.process.membership import messages as membership
from burdockwall.process.programs.messages import AnyRecordMessage
from burdockwall.process.scheduling.health_reports import (
    MarkEndpoints,
    ReportHealth,
)
from burdockwall.process.storage.messages import AnyStorageMessage
from burdockwall.types import Incarnation, InstanceId

_logger = logbook.Logger("peers")

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
    | membership.AskChanges
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
    | AskSuspects
    | ShareSuspects
    | ReportHealth
    | MarkEndpoints
)

# The version of the protocol between instances that this build speaks.
PROTOCOL = 3
# The first version that reads messages in acknowledgements.
ANSWERS_PROTOCOL = 2


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one incarnation of an instance.

    `count` is the number of messages sent on the connection so far, including this
    batch. `protocol` is the version that the sender speaks; earlier builds omit it.
    """

    sender: InstanceId
    incarnation: Incarnation
    count: int
    messages: list[AnyMessage]
    protocol: int = 0


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """The number of messages that have arrived on the connection.

    `protocol` is the version that the receiver speaks; builds of version 0 omit it.
    `messages` are the receiver's immediate answers to the batch, which cost no batch of
    their own.
    """

    count: int
    protocol: int = 0
    messages: list[AnyMessage] = []


class _RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    sender: InstanceId
    incarnation: Incarnation
    count: int
    messages: list[msgspec.Raw]
    protocol: int = 0


class MessagePackCodec(CodecBase):
    """The grpclib codec of envelopes and acknowledgements."""

    __content_subtype__ = "msgpack"

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {
            kind: msgspec.msgpack.Decoder(kind) for kind in (Envelope, Acknowledgement)
        }
        self._raw_decoder = msgspec.msgpack.Decoder(_RawEnvelope)
        self._message_decoder: msgspec.msgpack.Decoder[AnyMessage] = (
            msgspec.msgpack.Decoder(AnyMessage)
        )

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a struct of the given type."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a struct of the given type.

        Messages of an envelope that this build does not know are left out.
        """
        try:
            return self._decoders[message_type].decode(data)
        except msgspec.ValidationError:
            if message_type is not Envelope:
                raise
            return self._decode_known(data)

    def _decode_known(self, data: bytes) -> Envelope:
        raw = self._raw_decoder.decode(data)
        known = []
        unknown = 0
        for item in raw.messages:
            try:
                known.append(self._message_decoder.decode(item))
            except msgspec.ValidationError:
                unknown += 1
        extra = {"sender": raw.sender, "count": unknown}
        _logger.warning("messages of another build left out", extra=extra)
        return Envelope(raw.sender, raw.incarnation, raw.count, known, raw.protocol)
