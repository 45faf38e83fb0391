"""Lifecycle of one entry process: start, serve, drain, stop."""

from __future__ import annotations

import asyncio
import signal

import aiohttp
from aiohttp import web

from godwitvalve.configuration import in_force
from godwitvalve.engine import http_adapter as engine_adapter
from godwitvalve.entry import app
from godwitvalve.entry import build
from godwitvalve.entry import context as contexts
from godwitvalve.entry import gossip
from godwitvalve.entry import instance_watch
from godwitvalve.entry import load_watch
from godwitvalve.entry import move_watch
from godwitvalve.entry import order_watch
from godwitvalve.lifecycle import supervision
from godwitvalve.logs import setup as logs
from godwitvalve.settings import load as settings_load

DRAIN_POLL_S = 0.05
SUPERSEDED_POLL_S = 0.5
START_POLL_S = 0.1

_LOG = logs.get('entry')


class EntryProcess:
    """Runs one entry instance until SIGTERM or SIGINT."""

    def __init__(
        self,
        loaded: settings_load.LoadedSettings,
        session: aiohttp.ClientSession,
        report_session: aiohttp.ClientSession,
    ) -> None:
        self._settings = loaded.settings
        self._builder = build.ContextBuilder(loaded, session, report_session)
        self.context: contexts.EntryContext = self._builder.build(
            self._apply_configuration
        )
        self._gossip = gossip.Gossip(self.context)
        self._instances = instance_watch.InstanceWatch(self.context)
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        # By default SIGHUP ends the process with all of its requests.
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        self._gossip.register()
        await self.context.node.start()
        tasks = self._start_tasks()
        runner = await self._start_server()
        await self._stopping.wait()
        await self._drain()
        await self._stop(runner, tasks)

    def _note_reload(self) -> None:
        _LOG.info('Settings are not read again; changes need a restart.')

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        context = self.context
        work = {
            'follow the configuration': context.refresher.run,
            'send reports': self._gossip.run,
            'read the instance list': self._instances.run,
            'poll the endpoints': self._load_watch().run,
            'follow the moves': move_watch.MoveWatch(context).run,
            'carry out orders': order_watch.OrderWatch(
                context, self._builder.engines
            ).run,
            'watch for a newer incarnation': self._stop_when_superseded,
            'begin to serve': self._begin_serving,
        }
        failures = supervision.FailureLog(_LOG)
        return [
            asyncio.create_task(supervision.supervise(activity, run, failures))
            for activity, run in work.items()
        ]

    def _load_watch(self) -> load_watch.LoadWatch:
        return load_watch.LoadWatch(
            self.context, self._builder.report_engines, self._builder.engines
        )

    async def _begin_serving(self) -> None:
        """Start serving once a text is in force and the shares are active.

        Before that the other entries have not reduced their shares yet.
        """
        context = self.context
        while context.configuration is None or not context.shares.is_active(
            context.clock.monotonic_s()
        ):
            await asyncio.sleep(START_POLL_S)
        context.lifecycle.begin_serving()
        _LOG.info('Serving at %s.', self._settings.listen_address)
        await asyncio.Event().wait()

    async def _stop_when_superseded(self) -> None:
        """Drain once a newer incarnation has replaced this process."""
        while not self.context.node.is_superseded:
            await asyncio.sleep(SUPERSEDED_POLL_S)
        _LOG.warning('A newer incarnation has replaced this process.')
        self._stopping.set()
        await asyncio.Event().wait()

    async def _start_server(self) -> web.AppRunner:
        runner = app.runner(app.build(self.context))
        await runner.setup()
        host, _, port = self._settings.listen_address.rpartition(':')
        site = web.TCPSite(runner, host.strip('[]'), int(port))
        await site.start()
        return runner

    async def _drain(self) -> None:
        context = self.context
        now_s = context.clock.monotonic_s()
        warn_at_s = now_s + self._settings.drain_limit_s
        context.lifecycle.begin_drain(context.clock.wall_s())
        context.node.announce_leaving()
        _LOG.info(
            'Draining %d requests.', context.lifecycle.requests_in_flight
        )
        while not context.lifecycle.stop(context.clock.wall_s()):
            if context.clock.monotonic_s() >= warn_at_s:
                warn_at_s += self._settings.drain_limit_s
                running = context.lifecycle.requests_in_flight
                _LOG.warning(
                    'The drain exceeds its limit, %d requests still running.',
                    running,
                )
            await asyncio.sleep(DRAIN_POLL_S)
        await context.executor.close()

    async def _stop(
        self, runner: web.AppRunner, tasks: list[asyncio.Task[None]]
    ) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()
        await self.context.relay.close()
        await self.context.node.close()
        await self._builder.close()
        _LOG.info('Stopped.')

    def _apply_configuration(
        self, configuration: in_force.InForceConfiguration
    ) -> None:
        context = self.context
        context.admission.set_limits(build.account_limits(configuration))
        context.move_tracker.set_configuration(configuration)
        self._instances.apply()
        context.move_tracker.step(context.clock.wall_s())
        self._gossip.announce_head(configuration.head)


async def serve(loaded: settings_load.LoadedSettings) -> None:
    """Run an entry instance until it has stopped."""
    async with (
        engine_adapter.new_session() as session,
        engine_adapter.new_report_session() as report_session,
    ):
        await EntryProcess(loaded, session, report_session).run()
