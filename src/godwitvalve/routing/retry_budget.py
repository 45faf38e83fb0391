"""Budget that limits the retries of each service."""

from __future__ import annotations

EARNED_PER_FIRST_ATTEMPT = 0.1
# Lets an idle service retry at once; small compared with the load of a busy
# one.
BURST_RETRIES = 10.0
# An interrupted generation may represent minutes of work, so its resume may
# borrow retries that are not yet earned. The failure of a failure domain
# interrupts a quarter of an entry's streams at once, of about 300 at full
# size.
RESUME_DEBT_RETRIES = 100.0


class RetryBudget:
    """Retry tokens of each service.

    For ``n`` requests at most ``1.1 * n`` attempts are made, plus the burst
    and the debt once.

    :param earned_per_first_attempt: retries that one request adds; may be
        changed.
    """

    def __init__(
        self,
        burst_retries: float = BURST_RETRIES,
        resume_debt_retries: float = RESUME_DEBT_RETRIES,
        earned_per_first_attempt: float = EARNED_PER_FIRST_ATTEMPT,
    ) -> None:
        self.earned_per_first_attempt = earned_per_first_attempt
        self._burst_retries = burst_retries
        self._debt_retries = resume_debt_retries
        self._balances: dict[str, float] = {}

    def resize(self, burst_retries: float, resume_debt_retries: float) -> None:
        """Change the bounds; balances above the burst are reduced to it."""
        self._burst_retries = burst_retries
        self._debt_retries = resume_debt_retries
        for service, balance in self._balances.items():
            self._balances[service] = min(balance, burst_retries)

    def record_first_attempt(self, service: str) -> None:
        """Add the part of a retry that a new request earns."""
        balance = self.balance(service) + self.earned_per_first_attempt
        self._balances[service] = min(balance, self._burst_retries)

    def try_retry(self, service: str, for_resume: bool = False) -> bool:
        """Consume one retry if the budget allows it.

        :param for_resume: whether the retry resumes a generation.
        """
        floor = -self._debt_retries if for_resume else 0.0
        balance = self.balance(service) - 1.0
        # Floating-point sums of 0.1 are not exact.
        if balance < floor - 1e-9:
            return False
        self._balances[service] = balance
        return True

    def return_retry(self, service: str) -> None:
        """Give back a retry that was consumed and not made."""
        balance = self.balance(service) + 1.0
        self._balances[service] = min(balance, self._burst_retries)

    def balance(self, service: str) -> float:
        """Return the remaining retries; negative if resumes borrowed."""
        return self._balances.get(service, self._burst_retries)
