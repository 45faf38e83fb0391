"""Authenticated frames: length, MAC and payload.

Both ends count the frames of a connection, and the MAC covers this sequence
number, so a repeated, reordered or omitted frame fails authentication.
"""

from __future__ import annotations

import hashlib
import hmac
import struct

from godwitvalve.peers import messages

MAC_BYTES = 16
_LENGTH = struct.Struct('>I')
MAX_FRAME_BYTES = messages.MAX_MESSAGE_BYTES + MAC_BYTES
_PERSONALIZATION = b'gw-peer-frame'


class FrameError(Exception):
    """A frame with an invalid length or MAC."""


def _mac(key: bytes, sequence: int, payload: bytes) -> bytes:
    return hashlib.blake2b(
        sequence.to_bytes(8, 'big') + payload,
        key=key,
        digest_size=MAC_BYTES,
        person=_PERSONALIZATION,
    ).digest()


class FrameSealer:
    """Creates the frames of one direction of a connection.

    :param key: key of this connection and direction.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._sequence = 0

    def seal(self, payload: bytes) -> bytes:
        """Return the next frame, which contains a payload."""
        mac = _mac(self._key, self._sequence, payload)
        self._sequence += 1
        return _LENGTH.pack(len(payload) + MAC_BYTES) + mac + payload


class FrameOpener:
    """Verifies the frames of one direction of a connection.

    :param key: key of this connection and direction.
    :param max_frame_bytes: maximum length of MAC and payload.
    """

    def __init__(
        self, key: bytes, max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self._key = key
        self._sequence = 0
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the buffered incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the payloads of complete frames.

        :raises FrameError: if a frame is invalid and the connection must
            be closed.
        """
        self._buffer += data
        payloads = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if not MAC_BYTES <= length <= self._max_frame_bytes:
                raise FrameError(
                    f'frame has an invalid length of {length} bytes'
                )
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[start + _LENGTH.size : end])
            payloads.append(self._open(body))
            start = end
        del self._buffer[:start]
        return payloads

    def _open(self, body: bytes) -> bytes:
        mac, payload = body[:MAC_BYTES], body[MAC_BYTES:]
        expected = _mac(self._key, self._sequence, payload)
        if not hmac.compare_digest(mac, expected):
            raise FrameError('MAC of the frame does not match')
        self._sequence += 1
        return payload
