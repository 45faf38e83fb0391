"""Prometheus counters of an entry instance."""

from __future__ import annotations

from aioprometheus import collectors

from godwitvalve.outcomes import codes


class Counters:
    """Counters of requests, refusals, retries, lost streams and tokens.

    :param instance_id: value of the label ``instance`` of each metric.
    """

    def __init__(self, instance_id: str) -> None:
        self.registry = collectors.Registry()
        labels = {'instance': instance_id}
        self._refusals = self._counter(
            'godwitvalve_refusals_total', 'Refusals by result code.', labels
        )
        self._retries = self._counter(
            'godwitvalve_retries_total', 'Retries by reason.', labels
        )
        self._losses = self._counter(
            'godwitvalve_engine_losses_total',
            'Streams lost before their end, by reason.',
            labels,
        )
        self._tokens = self._counter(
            'godwitvalve_tokens_total', 'Tokens by kind.', labels
        )
        self._requests = self._counter(
            'godwitvalve_requests_total', 'Requests by service.', labels
        )

    def _counter(
        self, name: str, documentation: str, labels: dict[str, str]
    ) -> collectors.Counter:
        return collectors.Counter(
            name, documentation, const_labels=labels, registry=self.registry
        )

    def count_refusal(self, code: codes.ResultCode) -> None:
        """Count a refusal or failure by its result code."""
        self._refusals.inc({'code': str(code.value), 'reason': code.name})

    def count_retry(self, reason: str) -> None:
        """Count an attempt after the first one."""
        self._retries.inc({'reason': reason})

    def count_loss(self, reason: str) -> None:
        """Count a stream that was lost before its end."""
        self._losses.inc({'reason': reason})

    def count_tokens(self, kind: str, tokens: int) -> None:
        """Add to the number of tokens of a kind.

        :param kind: such as ``delivered`` or ``prefill``.
        """
        self._tokens.add({'kind': kind}, tokens)

    def count_request(self, service: str) -> None:
        """Count an admitted request."""
        self._requests.inc({'service': service})
