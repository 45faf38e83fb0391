"""Budget that bounds the attempts after the first ones."""

from __future__ import annotations

EARNED_PER_FIRST_ATTEMPT = 0.1
# Lets a quiet service retry at once, and is small against a busy one.
BURST_RETRIES = 10.0
# A lost generation may hold minutes of work, so its resume may borrow
# from retries not yet earned. A dead failure domain loses a quarter of
# about 300 streams of an entry at full size at once.
RESUME_DEBT_RETRIES = 100.0


class RetryBudget:
    """Retry tokens of each service.

    Over a run of ``n`` requests at most ``1.1 * n`` attempts are made,
    plus the burst and the debt once.

    :param earned_per_first_attempt: retries that one request adds.
    """

    def __init__(
        self,
        burst_retries: float = BURST_RETRIES,
        resume_debt_retries: float = RESUME_DEBT_RETRIES,
        earned_per_first_attempt: float = EARNED_PER_FIRST_ATTEMPT,
    ) -> None:
        self._earned = earned_per_first_attempt
        self._burst_retries = burst_retries
        self._debt_retries = resume_debt_retries
        self._balances: dict[str, float] = {}

    def resize(self, burst_retries: float, resume_debt_retries: float) -> None:
        """Change the bounds; balances above the burst are cut."""
        self._burst_retries = burst_retries
        self._debt_retries = resume_debt_retries
        for service, balance in self._balances.items():
            self._balances[service] = min(balance, burst_retries)

    def record_first_attempt(self, service: str) -> None:
        """Earn a part of a retry."""
        balance = self.balance(service) + self._earned
        self._balances[service] = min(balance, self._burst_retries)

    def try_retry(self, service: str, for_resume: bool = False) -> bool:
        """Take one retry if the budget allows it.

        :param for_resume: whether the retry continues a generation.
        """
        floor = -self._debt_retries if for_resume else 0.0
        balance = self.balance(service) - 1.0
        # Sums of 0.1 are not exact.
        if balance < floor - 1e-9:
            return False
        self._balances[service] = balance
        return True

    def balance(self, service: str) -> float:
        """Return the retries left; below zero if resumes borrowed."""
        return self._balances.get(service, self._burst_retries)
