"""Opening and accepting of authenticated connections between peers."""

from __future__ import annotations

import asyncio
import struct
from typing import NamedTuple

from godwitvalve.peers import framing
from godwitvalve.peers import handshake
from godwitvalve.peers import traffic as traffic_model

# A live peer answers within a few ms. For a frozen process the kernel still
# accepts connections, so only a time-out detects it.
HANDSHAKE_TIMEOUT_S = 2.0
_LENGTH = struct.Struct('>H')


class Connection(NamedTuple):
    """An authenticated connection and the hello of the peer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sealer: framing.FrameSealer
    opener: framing.FrameOpener
    peer: handshake.Hello
    is_dialled: bool


async def _read_block(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > handshake.MAX_HELLO_BYTES:
        raise handshake.HandshakeError('handshake message is too long')
    return await reader.readexactly(length)


def _write_block(writer: asyncio.StreamWriter, block: bytes) -> None:
    writer.write(_LENGTH.pack(len(block)) + block)


async def dial(
    address: str,
    hello: handshake.Hello,
    key: bytes,
    traffic: traffic_model.Traffic,
) -> Connection:
    """Open a connection to a peer and authenticate both ends.

    :param address: ``host:port`` of the peer.
    :param key: shared key.
    :raises OSError: if the connection cannot be opened.
    :raises TimeoutError: if the handshake exceeds its time-out.
    :raises HandshakeError: if the peer does not prove knowledge of the key.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            host.strip('[]'), int(port)
        )
        try:
            _write_block(writer, handshake.pack(hello))
            responder = handshake.unpack(await _read_block(reader))
            proof = await _read_block(reader)
            handshake.check_proof(proof, key, False, hello, responder)
            _write_block(writer, handshake.prove(key, True, hello, responder))
        except asyncio.IncompleteReadError as error:
            writer.close()
            raise handshake.HandshakeError(
                'peer closed the connection during the handshake'
            ) from error
        except BaseException:
            writer.close()
            raise
    traffic.bytes_out += len(handshake.pack(hello)) + len(proof)
    traffic.bytes_in += len(handshake.pack(responder)) + len(proof)
    session = handshake.session_keys(key, hello, responder)
    return Connection(
        reader,
        writer,
        framing.FrameSealer(session.initiator),
        framing.FrameOpener(session.responder),
        responder,
        True,
    )


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    hello: handshake.Hello,
    key: bytes,
    traffic: traffic_model.Traffic,
) -> Connection:
    """Authenticate a connection that another instance opened.

    :param key: shared key.
    :raises TimeoutError: if the handshake exceeds its time-out.
    :raises HandshakeError: if the peer does not prove knowledge of the key.
    """
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        try:
            initiator = handshake.unpack(await _read_block(reader))
            responder = hello._replace(is_overlay=initiator.is_overlay)
            _write_block(writer, handshake.pack(responder))
            _write_block(
                writer, handshake.prove(key, False, initiator, responder)
            )
            proof = await _read_block(reader)
        except asyncio.IncompleteReadError as error:
            raise handshake.HandshakeError(
                'peer closed the connection during the handshake'
            ) from error
    handshake.check_proof(proof, key, True, initiator, responder)
    traffic.bytes_in += len(handshake.pack(initiator)) + len(proof)
    traffic.bytes_out += len(handshake.pack(responder)) + len(proof)
    session = handshake.session_keys(key, initiator, responder)
    return Connection(
        reader,
        writer,
        framing.FrameSealer(session.responder),
        framing.FrameOpener(session.initiator),
        initiator,
        False,
    )
