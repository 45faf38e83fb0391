"""Test set-up of a forwarding context and scripted endpoints."""

from __future__ import annotations

import asyncio

from godwitvalve.fleet import endpoints
from godwitvalve.fleet import routes
from godwitvalve.fleet import state
from godwitvalve.forwarding import calls
from godwitvalve.forwarding import context
from godwitvalve.forwarding import counters
from godwitvalve.forwarding import exchange
from godwitvalve.forwarding import message_memory
from godwitvalve.forwarding import pool
from godwitvalve.forwarding import streams
from godwitvalve.parsing import throttle
from godwitvalve.placement import sessions
from godwitvalve.placement import speed
from godwitvalve.placement import tracker
from godwitvalve.platform import headers
from godwitvalve.queueing import turns as turn_model
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import registry as rollout_registries
from godwitvalve.routing import retry_budget

SERVICE = 'summaries'
REQUEST_ID = 'req-1'
# Streams that each endpoint seems to run more than the one before it.
INITIAL_STREAMS = 4


def route(kind, **changes):
    """Return a route with default limits and changes to them."""
    fields = {
        'name': 'r',
        'host': 'h.example',
        'prefix': '/p/',
        'kind': kind,
        'limit_ms': 1500.0,
        'objective_ms': 1250.0,
        'priority': 1,
        'services': (routes.WeightedService(SERVICE, 1.0),),
        'max_endpoints': 3,
        'is_public': True,
        'is_resumable': True,
        'max_gap_ms': 700.0,
    }
    return routes.Route(**{**fields, **changes})


class Recorder:
    """Sink that records the head and content of a stream.

    :param on_start: called when the stream starts.
    :param send_delays_s: how long the caller takes for its first contents.
    """

    def __init__(self, on_start, send_delays_s=()):
        self.head = None
        self.content = b''
        self._on_start = on_start
        self._send_delays_s = list(send_delays_s)

    async def start(self, head):
        self.head = head
        self._on_start()

    async def send(self, content):
        self.content += content
        if self._send_delays_s:
            await asyncio.sleep(self._send_delays_s.pop(0))


class ForwardingSite:
    """Forwards to endpoints that are each in their own failure domain.

    The first endpoint is chosen first.
    """

    def __init__(self, scripted, memory=None, turns=None):
        self.scripted = scripted
        self.memory = memory or message_memory.for_machine(128)
        self.lost = []
        self.on_started = []
        self.send_delays_s = ()
        # Tokens of the prompts of streams.
        self.prompt_tokens = 0
        self.max_output_tokens = 0
        self.state = state.FleetState()
        self.state.registry.mark_store_available(-100.0)
        self.state.install(self._configuration())
        for number, each in enumerate(scripted):
            self.state.registry.update(
                endpoints.FleetEndpoint(
                    f'e{number}',
                    SERVICE,
                    each.address,
                    f'fd-{number}',
                    'v1',
                    8,
                    False,
                    1,
                ),
                1,
            )
        self.tracker = tracker.EndpointTracker()
        # Later endpoints look busier, so that the order of attempts is known.
        for number in range(len(scripted)):
            self.tracker.stats(f'e{number}').calls = number * 4
            stats = self.tracker.stats(f'e{number}')
            stats.streams = number * INITIAL_STREAMS
        self.context = context.ForwardingContext(
            'fd-0',
            self.state,
            pool.ChannelPool(self.memory, throttle.ParsingThrottle()),
            self.tracker,
            retry_budget.RetryBudget(),
            counters.ForwardingCounters('test'),
            sessions.SessionTable(),
            speed.SpeedEstimates(),
            lambda endpoint, steady_s: self.lost.append(endpoint),
            dict,
            lambda: None,
            rollout_registries.RolloutRegistry(
                orders.ExposureLimits(0.1, 50.0)
            ),
            turns or turn_model.Turns(),
        )

    @staticmethod
    def _configuration():
        facts = routes.ServiceConfig(
            SERVICE, '/healthz', routes.EngineConfig(True)
        )
        limits = routes.CallerLimits(1 << 20)
        return routes.Configuration(1, [], [facts], {}, limits, b'')

    def routed_request(
        self,
        its_route,
        wait_s=1.4,
        last_event=0,
        request_id=REQUEST_ID,
        account='acme',
        segments=(),
    ):
        """Return a routed request with default contents."""
        request = exchange.CallerRequest(
            'POST',
            '/p/x?y=1',
            (
                (b'Host', b'h.example'),
                (b'Request-Id', request_id.encode()),
                (b'Kv-From', b'10.0.0.1:1/other'),
            ),
            b'body',
            headers.CallerFacts(
                request_id,
                None,
                '',
                last_event,
                self.prompt_tokens,
                self.max_output_tokens,
                'ab',
                segments,
            ),
        )
        deadline_s = asyncio.get_running_loop().time() + wait_s
        return calls.RoutedRequest(
            request, its_route, SERVICE, account, 1, deadline_s
        )

    async def call(
        self, its_route, wait_s=1.4, request_id=REQUEST_ID, account='acme'
    ):
        """Forward a plain call and return its reply."""
        routed = self.routed_request(its_route, wait_s, 0, request_id, account)
        return await calls.CallForwarder(self.context, routed).run()

    async def send_to(self, endpoint_id, wait_s, request_id):
        """Send a plain call once to one endpoint; return its outcome."""
        routed = self.routed_request(None, wait_s, 0, request_id)
        attempt = exchange.Exchange(
            self.state.registry.get(endpoint_id), self.context.pool
        )
        facts = headers.SendFacts(endpoint_id, wait_s * 1000, '')
        return await asyncio.wait_for(
            exchange.send_plain(attempt, routed.request, facts), wait_s
        )

    async def stream(
        self,
        its_route,
        wait_s=3.0,
        last_event=0,
        segments=(),
        request_id=REQUEST_ID,
    ):
        """Forward a stream; return its reply and the sink."""
        sink = Recorder(
            lambda: [each(self) for each in self.on_started],
            self.send_delays_s,
        )
        routed = self.routed_request(
            its_route, wait_s, last_event, request_id, segments=segments
        )
        reply = await streams.StreamForwarder(self.context, routed, sink).run()
        return reply, sink
