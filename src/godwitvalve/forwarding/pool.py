"""Pool of idle connections to endpoints."""

from __future__ import annotations

import asyncio

from godwitvalve.fleet import endpoints
from godwitvalve.forwarding import channel as channels
from godwitvalve.forwarding import message_memory
from godwitvalve.parsing import throttle as throttles

# Plain endpoints serve 6 calls at once. More idle connections would only
# count against the limit of connections that an endpoint accepts.
MAX_IDLE_PER_ENDPOINT = 8


class ChannelPool:
    """Idle connections by endpoint; the last used one is taken first.

    :param memory: counts the bytes of requests and answers.
    :param throttle: shared by all messages that are costly to parse.
    """

    def __init__(
        self,
        memory: message_memory.MessageMemory,
        throttle: throttles.ParsingThrottle,
    ) -> None:
        self.memory = memory
        self._throttle = throttle
        self._idle: dict[str, list[channels.EndpointChannel]] = {}

    async def acquire(
        self, endpoint: endpoints.FleetEndpoint, request_id: str
    ) -> channels.EndpointChannel:
        """Return an idle connection or open a new one.

        A connection that already carried the request is not used again: a
        late copy of its first answer would be taken for the second one.

        :raises ConnectFailed: if none can be opened.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(endpoint.endpoint_id, [])
        while idle:
            channel = idle.pop()
            if channel.is_reusable(now_s) and not channel.has_carried(
                request_id
            ):
                return channel
            channel.close()
        return await channels.connect(
            endpoint.address, self.memory, self._throttle
        )

    def release(
        self, endpoint_id: str, channel: channels.EndpointChannel
    ) -> None:
        """Return a connection to the pool after a complete answer."""
        now_s = asyncio.get_running_loop().time()
        if not channel.is_reusable(now_s):
            channel.close()
            return
        idle = self._idle.setdefault(endpoint_id, [])
        idle.append(channel)
        if len(idle) > MAX_IDLE_PER_ENDPOINT:
            idle.pop(0).close()

    def drop(self, endpoint_id: str) -> None:
        """Close the idle connections of a removed endpoint."""
        for channel in self._idle.pop(endpoint_id, []):
            channel.close()

    def prune(self) -> None:
        """Close the connections that exceeded their idle limit."""
        now_s = asyncio.get_running_loop().time()
        for endpoint_id, idle in list(self._idle.items()):
            reusable = [each for each in idle if each.is_reusable(now_s)]
            for channel in idle:
                if channel not in reusable:
                    channel.close()
            if reusable:
                self._idle[endpoint_id] = reusable
            else:
                del self._idle[endpoint_id]
