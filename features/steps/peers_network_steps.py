"""Steps for networks of peer nodes."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import behave
from features.doubles import ageless
from features.doubles import aio
from features.doubles import peer_net
from features.doubles import processes
from features.doubles import proxy
from godwitvalve.peers import calls
from godwitvalve.peers import link
from godwitvalve.peers import messages

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALL = messages.ForwardCall(1, 'acc', 'key', 's', 'POST', '/', (), b'', 1.0)


def _new_net(context):
    context.net = peer_net.PeerNet()
    context.cleanups.append(lambda: aio.run(context, context.net.close()))
    return context.net


@behave.given('{count:d} connected peer nodes')
def connected_nodes(context, count):
    net = _new_net(context)

    async def build():
        for number in range(count):
            await net.start(f'n{number}')
        await net.connect()

    aio.run(context, build())


@behave.when('one of them broadcasts a head')
def broadcast_head(context):
    async def send():
        context.net.nodes['n0'].broadcast(messages.HeadAnnounced(7, b'head'))

    aio.run(context, send())


@behave.then('each other node receives it exactly once')
def received_once(context):
    expected = [('n0', messages.HeadAnnounced(7, b'head'))]

    async def check():
        others = [name for name in context.net.nodes if name != 'n0']
        await aio.until(
            lambda: all(context.net.received[name] for name in others)
        )
        # Duplicates would arrive later, over longer paths.
        await asyncio.sleep(0.2)
        for name in others:
            assert context.net.received[name] == expected, name

    aio.run(context, check())


@behave.when('one of them announces that it is leaving')
def announce_leaving(context):
    async def leave():
        context.net.nodes['n0'].announce_leaving()

    aio.run(context, leave())


@behave.then('all nodes see it as leaving within {limit_s:g} s')
def seen_as_leaving(context, limit_s):
    def is_known():
        return all(
            member.state == 'leaving'
            for node in context.net.nodes.values()
            for member in node.members()
            if member.instance_id == 'n0'
        )

    aio.run(context, aio.until(is_known, limit_s))


@behave.when('a node sends a forwarded call to another')
def forward_call(context):
    async def answer(sender, message):
        return messages.ForwardAnswer(f'{sender} {message.key}'.encode(), True)

    async def call():
        target = context.net.nodes['n8']
        target.on_request(messages.ForwardCall, answer)
        return await context.net.nodes['n1'].call('n8', CALL)

    context.peer_answer = aio.run(context, call())


@behave.then("it gets the other node's answer")
def got_answer(context):
    assert context.peer_answer == messages.ForwardAnswer(b'n1 key', True)


@behave.when('a node waits for an answer and the other node closes')
def call_then_close(context):
    received = asyncio.Event()

    async def hang(sender, message):
        received.set()
        await asyncio.sleep(60)

    async def call():
        target = context.net.nodes['n2']
        target.on_request(messages.ForwardCall, hang)
        waiting = asyncio.create_task(context.net.nodes['n1'].call('n2', CALL))
        await received.wait()
        closed_s = time.monotonic()
        await target.close()
        try:
            await waiting
        except calls.PeerUnreachable:
            return time.monotonic() - closed_s
        raise AssertionError('a closed node answered')

    context.waited_s = aio.run(context, call())


@behave.then('the request fails as unreachable within {limit_s:g} s')
def failed_in_time(context, limit_s):
    assert context.waited_s <= limit_s, context.waited_s


@behave.when('a node with another key tries to join')
def unauthenticated_joins(context):
    async def join():
        await context.net.start('n9', key=b'x' * 32)
        context.net.publish()
        outsider = context.net.nodes['n9']
        peer = context.net.nodes['n0']
        await aio.until(
            lambda: (
                outsider.traffic.rejected_connections
                or peer.traffic.rejected_connections
            )
        )

    aio.run(context, join())


@behave.then('no node is connected with it and a rejection is counted')
def unauthenticated_rejected(context):
    for name, node in context.net.nodes.items():
        connected = node.connected_instances()
        assert 'n9' not in connected, name
        assert name != 'n9' or not connected, connected
    rejected = sum(
        node.traffic.rejected_connections
        for node in context.net.nodes.values()
    )
    assert rejected >= 1


@behave.when('unauthenticated clients send invalid data or nothing to a node')
def send_invalid_data(context):
    host, _, number = context.net.nodes['n0'].peer_address.rpartition(':')
    invalid = (
        b'',
        b'\x00',
        b'GET / HTTP/1.1\r\n\r\n',
        b'\xff' * 100_000,
        b'\x00\x03abc',
        os.urandom(2000),
    )

    async def send():
        context.clients = []
        for data in invalid:
            reader, writer = await asyncio.open_connection(host, int(number))
            writer.write(data)
            context.clients.append((reader, writer))

    aio.run(context, send())


@behave.then('each of their connections is closed within {limit_s:g} s')
def clients_closed(context, limit_s):
    async def wait():
        for reader, writer in context.clients:
            try:
                async with asyncio.timeout(limit_s):
                    while await reader.read(1000):
                        pass
            except ConnectionError:
                pass
            writer.close()

    aio.run(context, wait())


@behave.given('a peer process and 2 connected peer nodes')
def process_and_nodes(context):
    paths = os.pathsep.join((str(ROOT / 'src'), str(ROOT)))
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'bench.peer_process',
            '--instance-id=n9',
            f'--key={peer_net.KEY.decode()}',
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': paths},
    )
    context.cleanups.append(lambda: processes.stop(process))
    context.cleanups.append(process.stdin.close)
    context.peer_process = process
    number = process.stdout.readline().split()[-1]
    net = _new_net(context)

    async def build():
        for name in ('n0', 'n1'):
            await net.start(name)
        net.list_as('n9', 'live', f'127.0.0.1:{number}')
        net.publish()

    aio.run(context, build())
    listed = [
        [each.instance_id, each.peer_address] for each in net.listed.values()
    ]
    process.stdin.write(json.dumps({'members': listed}) + '\n')
    process.stdin.flush()
    _until_linked(context, 'n9', 15.0, True)


def _until_linked(context, name, limit_s, is_linked):
    def holds():
        return all(
            (name in node.connected_instances()) == is_linked
            for each, node in context.net.nodes.items()
            if each != name
        )

    aio.run(context, aio.until(holds, limit_s))


@behave.when('the peer process is frozen')
def freeze_peer(context):
    context.peer_process.send_signal(signal.SIGSTOP)


@behave.when('the peer process continues')
def continue_peer(context):
    context.peer_process.send_signal(signal.SIGCONT)


@behave.then('no node is connected with the peer process within {limit_s:g} s')
def process_unlinked(context, limit_s):
    _until_linked(context, 'n9', limit_s, False)


@behave.then(
    'each node is connected with the peer process within {limit_s:g} s'
)
def process_linked(context, limit_s):
    _until_linked(context, 'n9', limit_s, True)


@behave.given('two peer nodes connected through a proxy')
def nodes_through_proxy(context):
    net = _new_net(context)

    async def build():
        # The node with the smaller id dials, so n0 connects to n1 through
        # the proxy.
        target = await net.start('n1')
        number = int(target.peer_address.rpartition(':')[2])
        context.proxy = proxy.PausableProxy(number)
        through = f'127.0.0.1:{await context.proxy.start()}'
        own = target._membership.own
        target._membership.own = own._replace(peer_address=through)
        net.list_as('n1', 'live', through)
        await net.start('n0')
        await net.connect()

    aio.run(context, build())
    context.cleanups.append(lambda: aio.run(context, context.proxy.close()))


@behave.given(
    'two peer nodes without echoed timestamps connected through a proxy'
)
def ageless_nodes_through_proxy(context):
    guarded = link.PeerLink
    link.PeerLink = ageless.AgelessLink
    context.cleanups.append(lambda: setattr(link, 'PeerLink', guarded))
    nodes_through_proxy(context)


@behave.when('the proxy pauses the open connection for good')
def pause_connection(context):
    context.opened_before = context.proxy.opened
    context.proxy.pause()
    context.proxy.admit_new_connections()


@behave.then('the nodes are connected again within {limit_s:g} s')
def nodes_connected_again(context, limit_s):
    net = context.net

    def is_replaced():
        unresponsive = sum(
            node.traffic.silent_connections for node in net.nodes.values()
        )
        return unresponsive and all(
            node.connected_instances() for node in net.nodes.values()
        )

    aio.run(context, aio.until(is_replaced, limit_s))


@behave.then('a broadcast passes between the two nodes')
def broadcast_passes(context):
    async def send():
        context.net.nodes['n0'].broadcast(messages.HeadAnnounced(8, b''))
        await aio.until(lambda: context.net.received['n1'], 2.0)

    aio.run(context, send())


@behave.when('the proxy delays a freshness message by {delay_s:g} s')
def delay_freshness(context, delay_s):
    def is_settled():
        (open_link,) = context.net.nodes['n0']._links.overlay()
        return open_link.age_bound_s() < 1.0

    async def send():
        # Until the first echo arrives, the age bound includes the
        # time-out of the handshake, which would hide the delay.
        await aio.until(is_settled)
        context.proxy.pause()
        context.net.nodes['n1'].broadcast(messages.Freshness('n1', 3, 0.0))
        await asyncio.sleep(delay_s)
        assert not context.net.received['n0']
        context.proxy.resume()
        await aio.until(lambda: context.net.received['n0'], 2.0)

    aio.run(context, send())


@behave.then('the message arrives with an age of at least {age_s:g} s')
def age_at_least(context, age_s):
    ((_, message),) = context.net.received['n0']
    assert message.age_s >= age_s, message


@behave.then('the message arrives with an age below {age_s:g} s')
def age_below(context, age_s):
    ((_, message),) = context.net.received['n0']
    assert message.age_s < age_s, message


@behave.when('one node dies and a replacement with its name starts')
def node_replaced(context):
    async def replace():
        await context.net.nodes['n0'].close()
        await context.net.start('n0', incarnation=2)
        context.net.publish()

    aio.run(context, replace())


def _wait_for_newer(context):
    def holds():
        return all(
            member.incarnation == 2
            for node in context.net.nodes.values()
            for member in node.members()
            if member.instance_id == 'n0'
        )

    aio.run(context, aio.until(holds))


@behave.then('the others see the newer incarnation and are connected with it')
def newer_seen_and_linked(context):
    _wait_for_newer(context)
    _until_linked(context, 'n0', 15.0, True)


@behave.when(
    'a replacement of one node starts while the old one keeps running'
)
def replaced_while_running(context):
    context.old_node = context.net.nodes['n0']
    context.cleanups.append(lambda: aio.run(context, context.old_node.close()))

    async def replace():
        await context.net.start('n0', incarnation=2)
        context.net.publish()

    aio.run(context, replace())


@behave.then('the old one is superseded and the others see the newer one')
def old_is_superseded(context):
    _wait_for_newer(context)
    aio.run(context, aio.until(lambda: context.old_node.is_superseded))


def _report(node, number):
    return messages.DemandReport(node.instance_id, 1, number, b'report')


@behave.when('each node sends {count:d} reports')
def send_reports(context, count):
    net = context.net
    first = getattr(context, 'reports_sent', 0)
    context.reports_sent = first + count

    async def send():
        if not first:
            context.reports = {name: [] for name in net.nodes}
            for name, node in net.nodes.items():
                node.on(
                    messages.DemandReport,
                    lambda _, got, name=name: context.reports[name].append(
                        (got.origin, got.sequence)
                    ),
                )
        for number in range(first, first + count):
            for node in net.nodes.values():
                node.broadcast(_report(node, number))
            # Gives each report time to arrive before the next one is sent.
            await asyncio.sleep(0.05)
            if number == context.reports_sent - 5:
                context.duplicates = _duplicates(net)

    aio.run(context, send())


def _duplicates(net):
    return sum(node.traffic.duplicates_in for node in net.nodes.values())


@behave.then('each node has received each report exactly once')
def reports_received_once(context):
    names = set(context.net.nodes)

    def expected(name):
        return {
            (origin, number)
            for origin in names - {name}
            for number in range(context.reports_sent)
        }

    async def check():
        await aio.until(
            lambda: all(
                set(context.reports[name]) == expected(name) for name in names
            )
        )
        for name in names:
            received = context.reports[name]
            assert len(received) == len(set(received)), name

    aio.run(context, check())


@behave.then('the last 4 reports of each node caused few duplicates')
def few_duplicates(context):
    # Flooding over all links would cause about 4 duplicates for each of
    # the 9 * 8 * 4 deliveries.
    found = _duplicates(context.net) - context.duplicates
    assert found <= 9 * 8 * 4 * 0.2, found


@behave.when('one node dies')
def one_node_dies(context):
    net = context.net

    async def die():
        dead = net.nodes.pop('n4')
        await dead.close()
        del net.listed['n4']
        await aio.until(
            lambda: all(
                'n4' not in node.connected_instances()
                for node in net.nodes.values()
            )
        )

    aio.run(context, die())


@behave.then(
    'each node has received one of the last 16 reports of each other node'
)
def reports_continue(context):
    oldest = context.reports_sent - 16
    for name in context.net.nodes:
        recent = {
            origin
            for origin, number in context.reports[name]
            if number >= oldest
        }
        assert recent >= set(context.net.nodes) - {name}, (name, recent)
