"""Encode the messages between instances as MessagePack."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import logbook
import msgspec
from grpclib.encoding.base import CodecBase

from burdockwall.process.control import copier, messages as control
from burdockwall.process.crashes.messages import AskSuspects, ShareSuspects
from burdockwall.process.endpoint_limits import messages as endpoint_limits
from burdockwall.process.endpoints import (
    AskEndpoints,
    EndpointChanges,
    EndpointList,
)
from burdockwall.process.limits import messages as limits
from burdockwall.process.membership import messages as membership
from burdockwall.process.programs.messages import AnyRecordMessage
from burdockwall.process.scheduling.health_reports import (
    MarkEndpoints,
    ReportHealth,
)
from burdockwall.process.storage.messages import AnyStorageMessage
from burdockwall.process.version_checks import AnyVersionMessage
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
    | membership.ChangesOutline
    | membership.SnapshotOutline
    | membership.OutlineReceived
    | membership.AskDocument
    | membership.GiveDocument
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
    | EndpointChanges
    | AskEndpoints
    | AnyVersionMessage
    | endpoint_limits.AskPermits
    | endpoint_limits.GrantPermits
    | AskSuspects
    | ShareSuspects
    | ReportHealth
    | MarkEndpoints
)

# The version of the protocol between instances that this build speaks.
PROTOCOL = 4
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


class UnreadableFrame(Exception):
    """The bytes of a batch or acknowledgement can't be taken apart."""


class _RawEnvelope(msgspec.Struct, frozen=True, array_like=True):
    sender: InstanceId
    incarnation: Incarnation
    count: int
    messages: list[msgspec.Raw]
    protocol: int = 0


class _RawAcknowledgement(msgspec.Struct, frozen=True, array_like=True):
    count: int
    protocol: int = 0
    messages: list[msgspec.Raw] = []


Frame = Envelope | Acknowledgement


class MessagePackCodec(CodecBase):
    """The grpclib codec of envelopes and acknowledgements.

    A message that can't be encoded or decoded is left out, and the others are kept.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, report_bytes: Callable[[int], None] | None = None) -> None:
        self._report_bytes = report_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {
            kind: msgspec.msgpack.Decoder(kind) for kind in (Envelope, Acknowledgement)
        }
        self._raw_decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {
            Envelope: msgspec.msgpack.Decoder(_RawEnvelope),
            Acknowledgement: msgspec.msgpack.Decoder(_RawAcknowledgement),
        }
        self._message_decoder: msgspec.msgpack.Decoder[AnyMessage] = (
            msgspec.msgpack.Decoder(AnyMessage)
        )

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a frame, and report its size before it is sent."""
        try:
            data = self._encoder.encode(message)
        except Exception:
            data = self._encode_sound(message)
        if self._report_bytes is not None:
            self._report_bytes(len(data))
        return data

    def _encode_sound(self, frame: Frame) -> bytes:
        sound = []
        for message in frame.messages:
            try:
                self._encoder.encode(message)
            except Exception as error:
                extra = {"kind": type(message).__name__, "error": repr(error)}
                _logger.error("message not encoded", extra=extra)
            else:
                sound.append(message)
        return self._encoder.encode(msgspec.structs.replace(frame, messages=sound))

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a frame of the given type; raise UnreadableFrame if that fails."""
        try:
            return self._decoders[message_type].decode(data)
        except Exception:
            return self._decode_known(data, message_type)

    def _decode_known(self, data: bytes, message_type: Any) -> Frame:
        try:
            raw = self._raw_decoders[message_type].decode(data)
        except Exception as error:
            raise UnreadableFrame(repr(error)) from error
        known = self._decode_messages(raw.messages)
        unknown = len(raw.messages) - len(known)
        extra = {"sender": getattr(raw, "sender", ""), "count": unknown}
        _logger.warning("messages of another build left out", extra=extra)
        fields = msgspec.structs.asdict(raw) | {"messages": known}
        frame: Frame = message_type(**fields)
        return frame

    def _decode_messages(self, messages: list[msgspec.Raw]) -> list[AnyMessage]:
        known = []
        for item in messages:
            # Decoding raises errors of several kinds, for text that isn't UTF-8 too.
            with suppress(Exception):
                known.append(self._message_decoder.decode(item))
        return known
