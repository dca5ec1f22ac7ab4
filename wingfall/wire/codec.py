"""Frames: a length of four bytes, then one msgpack message."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final, final

import msgpack

from wingfall.errors import WireError
from wingfall.wire import (
    call_messages,
    gateway_messages,
    handshake_messages,
    offer_messages,
    peer_messages,
    stream_messages,
    transfer_messages,
)
from wingfall.wire.message import Message, build_message

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_HANDSHAKE_BYTES: Final = 4096
MAX_MESSAGE_BYTES: Final = 4_194_304

# A message is known once its module is imported, so all are imported here.
VOCABULARY: Final = (
    call_messages,
    gateway_messages,
    handshake_messages,
    offer_messages,
    peer_messages,
    stream_messages,
    transfer_messages,
)

_LENGTH: Final = struct.Struct('>I')
_PACKER: Final = msgpack.Packer(use_bin_type=True)


def encode(message: Message) -> bytes:
    """Encode a message with its length.

    :param message: the message.
    :returns: the frame.
    """
    body = _PACKER.pack(message.fields())
    return _LENGTH.pack(len(body)) + body


@final
class FrameDecoder:
    """Cuts a byte stream into messages, each within a bound."""

    __slots__ = ('_buffer', 'max_bytes')

    def __init__(self, *, max_bytes: int = MAX_HANDSHAKE_BYTES) -> None:
        """Start with an empty buffer.

        :param max_bytes: largest message that is taken.
        """
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    @property
    def frame_bytes(self) -> int:
        """Length of the frame that has begun, 0 if it is not known yet."""
        if len(self._buffer) < _LENGTH.size:
            return 0
        return self._frame_end()

    def feed(self, received: bytes) -> Iterator[Message]:
        """Take bytes and give the messages that are complete.

        :param received: bytes as they came.
        :yields: the messages in their order.
        :raises WireError: if the bytes are no frames of this protocol.
        """
        # The buffer is cut before each message is given, so that a reader
        # may stop after any message and go on with a later call.
        buffer = self._buffer
        buffer += received
        while len(buffer) >= _LENGTH.size:
            end = self._frame_end()
            if len(buffer) < end:
                return
            body = bytes(buffer[_LENGTH.size : end])
            del buffer[:end]  # noqa: WPS420
            yield _decode(body)

    def _frame_end(self) -> int:
        length = int.from_bytes(self._buffer[: _LENGTH.size])
        if length > self.max_bytes:
            raise WireError(
                f'a message of {length} bytes, at most {self.max_bytes}',
            )
        return _LENGTH.size + length


def _decode(body: bytes) -> Message:
    try:
        fields = msgpack.unpackb(body, raw=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        raise WireError('not msgpack') from error
    return build_message(fields)
