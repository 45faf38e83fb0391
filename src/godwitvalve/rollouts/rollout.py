"""What one entry knows about one roll-out."""

from __future__ import annotations

from collections import abc

from godwitvalve.fleet import endpoints
from godwitvalve.logs import setup as logs
from godwitvalve.rollouts import judge as judges
from godwitvalve.rollouts import news as news_model
from godwitvalve.rollouts import orders
from godwitvalve.rollouts import plan
from godwitvalve.rollouts import tally as tallies

# Other endpoints carry the share after this time, so that a fault of one
# endpoint does not look like one of the version.
CARRIER_TURN_S = 2.0

_LOG = logs.get('rollouts')
_NO_VIEW = plan.RolloutView(0.0, 1.0, 0.0, 0, 0, 1.0, 0, 0)


class Rollout:
    """An order, what was counted for it and what follows from that.

    :param began_s: when the order was first seen, monotonic seconds.
    :param own: counts of this entry, with answers of the old version from
        before the order.
    """

    def __init__(
        self,
        order: orders.RolloutOrder,
        began_s: float,
        limits: orders.ExposureLimits,
        own: tallies.Tally,
    ) -> None:
        self.order = order
        self.began_s = began_s
        self.state = orders.RolloutState.RUNNING
        self.is_announced = False
        self.own = own
        self.share = 0.0
        self._limits = limits
        self._judge = judges.Judge()
        self._view = _NO_VIEW
        self._had_old = False
        self._progress = plan.Progress(_NO_VIEW, None)
        # By instance and start, as counts of an earlier start stay true.
        self._told: dict[tuple[str, int], news_model.RolloutNews] = {}

    def elapsed_s(self, now_s: float) -> float:
        """Return the seconds since the order."""
        return now_s - self.began_s

    def is_new(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether an endpoint runs the version that is asked for."""
        return endpoint.version == self.order.version

    def allows(self, endpoint: endpoints.FleetEndpoint) -> bool:
        """Tell whether an endpoint may get requests at all."""
        is_refused = self.state in (
            orders.RolloutState.DOUBTED,
            orders.RolloutState.TAKEN_BACK,
        )
        return not (is_refused and self.is_new(endpoint))

    def choose(
        self, listed: abc.Sequence[endpoints.FleetEndpoint], draw: float
    ) -> list[endpoints.FleetEndpoint]:
        """Return the endpoints of the version that a request gets.

        :param draw: number from 0 to 1 that decides for a version; 1 means
            the old one unless the new one gets everything.
        """
        new = [each for each in listed if self.is_new(each)]
        old = [each for each in listed if not self.is_new(each)]
        if self.state is orders.RolloutState.COMPLETED:
            return new or old
        if self.state is not orders.RolloutState.RUNNING:
            return old
        if self.share >= 1.0:
            return new or old
        if not old:
            return new if self._may_expose() else []
        return self._carriers(new, len(old)) if draw < self.share else old

    def _may_expose(self) -> bool:
        """Tell whether the new version serves while no old one is there.

        An order for the version that already runs has no old one at all.
        """
        has_exposure = plan.exposure_left(self._view, self._limits) > 0
        return has_exposure or not self._had_old

    def _carriers(
        self, new: list[endpoints.FleetEndpoint], old_count: int
    ) -> list[endpoints.FleetEndpoint]:
        """Return as many endpoints as the share loads like old ones.

        Load pattern: a version that fails under load only. Spread over all
        endpoints of the new version a small share would not show that.
        """
        count = max(round(self.share * old_count), 1)
        ordered = sorted(new, key=lambda each: each.endpoint_id)
        turn = int(self._view.elapsed_s / CARRIER_TURN_S) * count
        first = turn % max(len(ordered), 1)
        return (ordered[first:] + ordered[:first])[:count]

    def hear(
        self,
        origin: tuple[str, int],
        told: news_model.RolloutNews,
        now_s: float,
        age_s: float,
    ) -> bool:
        """Take another entry's news; tell whether the state changed.

        :param origin: instance and start of the sender.
        :param age_s: how long ago it was sent.
        """
        self._told[origin] = told
        self.is_announced |= told.is_announced
        began_s = now_s - age_s - told.elapsed_ms / 1000
        self.began_s = min(self.began_s, began_s)
        return self.enter(told.state, origin[0])

    def enter(self, state: orders.RolloutState, reason: str) -> bool:
        """Take a state if it holds over the known one."""
        if state <= self.state:
            return False
        self.state = state
        self.share = float(state is orders.RolloutState.COMPLETED)
        _LOG.info(
            'A roll-out changed its state.',
            extra={
                'service': self.order.service,
                'version': self.order.version,
                'order': self.order.row_version,
                'state': state.name,
                'reason': reason,
                'sent': self._view.sent,
                'sent_new': self._view.sent_new,
                'part': round(self._view.part, 2),
            },
        )
        return True

    def review(
        self,
        listed: abc.Collection[endpoints.FleetEndpoint],
        settle_s: float,
        now_s: float,
    ) -> bool:
        """Plan the share anew; tell whether the state changed.

        :param listed: endpoints of the service that do not leave.
        :param settle_s: time in which requests at the old version end.
        """
        seen = tallies.total(
            [self.own, *(told.tally for told in self._told.values())]
        )
        self._judge.take(seen, self.elapsed_s(now_s))
        new = [each for each in listed if self.is_new(each)]
        self._view = plan.RolloutView(
            self.elapsed_s(now_s),
            self.order.duration_s,
            settle_s,
            seen.sent,
            seen.sent_new,
            self._judge.doubt(),
            sum(each.slots for each in new),
            sum(each.slots for each in listed if not self.is_new(each)),
        )
        self._had_old |= self._view.old_slots > 0
        self._progress = plan.Progress(self._view, self._judge.blame(len(new)))
        if self.state is not orders.RolloutState.RUNNING:
            return False
        reason = plan.take_back_reason(self._progress)
        if reason is not None:
            return self.enter(orders.RolloutState.DOUBTED, reason)
        if self.is_announced:
            self.share = plan.plan_share(self._view, self._limits)
        return False

    def wanted(self) -> orders.RolloutState | None:
        """Return the state that the store should hold next, if any."""
        match self.state:
            case orders.RolloutState.DOUBTED:
                return orders.RolloutState.TAKEN_BACK
            case orders.RolloutState.RUNNING:
                if not self.is_announced:
                    return orders.RolloutState.RUNNING
                if self.share >= 1.0 and plan.is_complete(self._progress):
                    return orders.RolloutState.COMPLETED
        return None

    def news(self, now_s: float) -> news_model.RolloutNews:
        """Return what the other entries are told."""
        return news_model.RolloutNews(
            self.order.service,
            self.order.version,
            int(self.order.duration_s * 1000),
            self.order.row_version,
            int(self.elapsed_s(now_s) * 1000),
            self.state,
            self.is_announced,
            self.own,
        )
