"""Deterministic tokens from which tests compute the expected answer."""

from __future__ import annotations

import hashlib
import os

VOCABULARY_SIZE = 50_000
_PROMPT_CHARACTERS_PER_TOKEN = 4


def prompt_digest(prompt: str) -> bytes:
    """Return the 16-byte digest of a prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


def prompt_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens."""
    return -(-len(prompt) // _PROMPT_CHARACTERS_PER_TOKEN)


def piece(token: int) -> str:
    """Return the text of a token."""
    return f' w{token}'


class TokenSource:
    """Tokens of one answer as a function of their index.

    :param diverge: mix in randomness, as a non-deterministic engine does.
    """

    def __init__(
        self,
        version: str,
        adapter: str,
        seed: int,
        digest: bytes,
        diverge: bool = False,
    ) -> None:
        salt = os.urandom(8) if diverge else b''
        identity = f'{version}\0{adapter}\0{seed}\0'.encode()
        self._state = hashlib.blake2b(digest_size=4)
        self._state.update(identity + digest + salt)

    def token(self, index: int) -> int:
        """Return the token at an index."""
        state = self._state.copy()
        state.update(index.to_bytes(4, 'big'))
        return int.from_bytes(state.digest(), 'big') % VOCABULARY_SIZE


def token_id(
    version: str, adapter: str, seed: int, digest: bytes, index: int
) -> int:
    """Return token ``index`` of the answer to a prompt digest."""
    return TokenSource(version, adapter, seed, digest).token(index)


def expected_tokens(
    version: str, adapter: str, seed: int, prompt: str, count: int
) -> list[int]:
    """Return the first tokens of the answer to a prompt."""
    source = TokenSource(version, adapter, seed, prompt_digest(prompt))
    return [source.token(index) for index in range(count)]
