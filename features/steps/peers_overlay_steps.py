"""Steps for overlay, membership, address answers and the flood filter."""

from __future__ import annotations

import collections

import behave
from features.models import naive_flood
from features.models import report_simulation
from godwitvalve.peers import addresses
from godwitvalve.peers import membership
from godwitvalve.peers import messages
from godwitvalve.peers import overlay
from godwitvalve.store import port
import hypothesis
from hypothesis import strategies

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def _links(names):
    return {name: overlay.choose_peers(name, names - {name}) for name in names}


@behave.given('an overlay of {count:d} instances')
def overlay_of(context, count):
    context.names = {f'entry-{number}' for number in range(count)}


@behave.when('a quarter of the instances is excluded')
def quarter_excluded(context):
    context.names = set(sorted(context.names)[len(context.names) // 4 :])


@behave.when('one instance is replaced')
def one_replaced(context):
    context.links_before = _links(context.names)
    context.names = (context.names - {'entry-7'}) | {'entry-new'}


@behave.then('each instance has at most 6 peers, the same from both ends')
def few_symmetric_peers(context):
    links = _links(context.names)
    for name, peers in links.items():
        assert len(peers) <= 6, (name, peers)
        assert all(name in links[peer] for peer in peers), name


@behave.then('a message crosses the overlay in at most {hops:d} hops')
def overlay_diameter(context, hops):
    links = _links(context.names)
    for start in sorted(context.names)[:20]:
        reached = {start}
        for _ in range(hops):
            reached |= {peer for name in reached for peer in links[name]}
        assert reached == context.names, len(reached)


@behave.then('at most {count:d} instances have other peers')
def few_changes(context, count):
    links = _links(context.names)
    changed = [
        name
        for name, peers in context.links_before.items()
        if name in links and links[name] != peers
    ]
    assert 0 < len(changed) <= count, changed


@behave.given('{count:d} members of the entry')
def members_of_entry(context, count):
    context.members = [
        membership.Member(f'e{i}', 1, 'live', f'127.0.0.1:{i}', '', 'fd-1')
        for i in range(count)
    ]


def _answer(members, account='portal', count=3):
    return addresses.addresses_for(account, members, count, 1000.0, 10.0)


@behave.then(
    '{accounts:d} client accounts with {count:d} addresses each load no '
    'entry with over {times:d} times its share'
)
def accounts_spread(context, accounts, count, times):
    load = collections.Counter(
        address
        for number in range(accounts)
        for address in _answer(
            context.members, f'account-{number}', count
        ).addresses
    )
    share = accounts * count / len(context.members)
    assert max(load.values()) <= times * share, (max(load.values()), share)


@behave.when('one member that is in an address answer is draining')
def member_draining(context):
    context.answer_before = _answer(context.members)
    context.drained = context.answer_before.addresses[1]
    context.members = [
        each._replace(state='leaving')
        if each.address == context.drained
        else each
        for each in context.members
    ]


@behave.then('the new address answer differs in that member only')
def answer_differs(context):
    before = set(context.answer_before.addresses)
    after = set(_answer(context.members).addresses)
    assert before - after == {context.drained}
    assert len(after) == len(before)


@behave.then('an address answer at 1000 s for 10 s is valid until 1010 s')
def answer_deadline(context):
    assert _answer(context.members).valid_until_wall_s == 1010.0


def _fact(name, incarnation, state='live'):
    return messages.MemberFact(
        name, incarnation, state, f'{name}:{incarnation}', '', 'fd-1'
    )


def _check_order(facts, order):
    first = membership.Membership(_fact('self', 1))
    second = membership.Membership(_fact('self', 1))
    for fact in facts:
        first.apply(fact, 0.0)
    for fact in [*order, *facts[:3]]:
        second.apply(fact, 0.0)
    assert first.members(1.0) == second.members(1.0)


@behave.then('random facts in two orders give the same members')
def facts_commute(context):
    fact = strategies.builds(
        _fact,
        strategies.sampled_from(['a', 'b', 'self']),
        strategies.integers(1, 3),
        strategies.sampled_from(['live', 'leaving', 'gone', 'nonsense']),
    )
    cases = strategies.lists(fact, max_size=12).flatmap(
        lambda facts: strategies.tuples(
            strategies.just(facts), strategies.permutations(facts)
        )
    )
    check = hypothesis.given(cases)(lambda case: _check_order(*case))
    SETTINGS(check)()


@behave.given(
    'a membership that received a fact about "{name}" with incarnation '
    '{number:d}'
)
def membership_with_fact(context, name, number):
    context.membership = membership.Membership(_fact('self', 1))
    assert context.membership.apply(_fact(name, number), 0.0)


@behave.when(
    'it receives a fact about "{name}" with incarnation {number:d} and '
    'state "{state}"'
)
def membership_receives(context, name, number, state):
    context.membership.apply(_fact(name, number, state), 1.0)


@behave.when('the list says that "{name}" is "{state}"')
def list_says(context, name, state):
    listed = port.ListedInstance(name, 'entry', '', '', 'fd-1', '', '', state)
    context.membership.update_listed([listed])


@behave.when('the list no longer has "{name}"')
def list_lacks(context, name):
    context.membership.update_listed([])


@behave.when('it receives a fact about itself with a newer incarnation')
def receives_own_fact(context):
    context.membership.apply(_fact('self', 2), 1.0)


@behave.then(
    'it has "{name}" as a member with incarnation {number:d} and '
    'state "{state}"'
)
def membership_has(context, name, number, state):
    member = context.membership.find(name, 2.0)
    assert (member.incarnation, member.state) == (number, state), member


@behave.then('it has no member "{name}"')
def membership_lacks(context, name):
    assert context.membership.find(name, 2.0) is None


@behave.then('it is superseded')
def membership_superseded(context):
    assert context.membership.is_superseded


@behave.then('a flood filter agrees with a naive one on random messages')
def filters_agree(context):
    SETTINGS(hypothesis.given(naive_flood.MESSAGES)(naive_flood.compare))()


@behave.given('a simulated overlay of {count:d} instances with random delays')
def simulated_overlay(context, count):
    context.simulation = report_simulation.Simulation(count, seed=5)


@behave.when('{count:d} reports are sent and an instance dies after the 20th')
def simulate_reports(context, count):
    simulation = context.simulation
    context.results = []
    for number in range(count):
        if number == 20:
            simulation.kill_relay()
        context.results.append(simulation.send_report(number))


@behave.then(
    'settled reports reach all instances with at most {copies:g} copies each'
)
def settled_reports(context, copies):
    for result in context.results[1:16]:
        assert not result.missed, result
    settled = context.results[4:16]
    mean = sum(result.copies for result in settled) / len(settled)
    print(f'{mean:.3f} copies of a report for each instance')
    assert mean <= copies, mean


@behave.then('no instance misses more than {count:d} reports in a row')
def few_missed(context, count):
    consecutive = collections.Counter()
    for result in context.results:
        for name in context.simulation.alive:
            consecutive[name] += 1
            if name not in result.missed:
                consecutive[name] = 0
            assert consecutive[name] <= count, name
