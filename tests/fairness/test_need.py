"""Tests of what accounts usually need, and of the claims in a demand."""

import pytest

from dragonflyhold.accounts import AccountName, Anonymous, ClientAccount, Unidentified
from dragonflyhold.fairness import (
    ANONYMOUS,
    MAX_SHARES,
    OTHERS,
    AccountNeed,
    AccountTag,
    Claim,
    account_tag,
    make_claim,
    summarize_claims,
)
from dragonflyhold.fairness.need import EXCESS_RATIO, MAX_ACCOUNTS

HOT, USUAL = AccountTag(2), AccountTag(3)


def _send(need: AccountNeed, account: AccountTag, rate: float, start: float, end: float) -> int:
    """Send requests at a rate; return how many were within the account's allowance."""
    count = round((end - start) * rate)
    return sum(need.note_request(account, start + number / rate) for number in range(count))


class TestAccountNeed:
    """Usual rates and what goes beyond them."""

    def test_usual_requests_are_never_in_excess(self) -> None:
        need = AccountNeed()
        for second in range(60):
            for account, rate in ((HOT, 1.0), (USUAL, 8.0)):
                assert _send(need, account, rate, second, second + 1) == rate

    def test_a_hot_account_is_in_excess_beyond_its_multiple(self) -> None:
        """Guards against an account whose sudden load is taken for its need at once."""
        need = AccountNeed()
        for second in range(40):
            _send(need, HOT, 4.0, second, second + 1)
            _send(need, USUAL, 4.0, second, second + 1)
        within = 0
        for second in range(40, 60):
            within += _send(need, HOT, 30.0, second, second + 1)
            _send(need, USUAL, 4.0, second, second + 1)
        assert within < 2 * EXCESS_RATIO * 4.0 * 20
        assert need.share(HOT, 60.0) < 0.75

    def test_an_account_alone_is_never_in_excess(self) -> None:
        need = AccountNeed()
        assert _send(need, HOT, 1.0, 0.0, 30.0) + _send(need, HOT, 50.0, 30.0, 40.0) == 530

    def test_a_lasting_rise_becomes_usual(self) -> None:
        need = AccountNeed()
        for second in range(300):
            _send(need, HOT, 1.0 if second < 30 else 8.0, second, second + 1)
            _send(need, USUAL, 8.0, second, second + 1)
        assert need.share(HOT, 300.0) == pytest.approx(0.5, abs=0.05)

    def test_an_account_that_comes_back_may_ask_for_an_equal_share(self) -> None:
        """Guards against accounts of long ago that lessen what is left for those that ask."""
        need = AccountNeed()
        for number in range(1000):
            need.note_request(AccountTag(100 + number), number / 1000)
        for second in range(300):
            _send(need, USUAL, 4.0, second, second + 1)
        within = 0
        for second in range(300, 330):
            _send(need, USUAL, 4.0, second, second + 1)
            within += _send(need, HOT, 2.0, second, second + 1)
        assert within == 60

    def test_an_account_whose_neighbours_left_is_alone(self) -> None:
        """One account that asks is never in excess, whoever asked long before."""
        need = AccountNeed()
        need.note_request(USUAL, 0.0)
        for second in range(300):
            _send(need, HOT, 1.0, second, second + 1)
        assert _send(need, HOT, 50.0, 300.0, 310.0) == 500

    def test_the_number_of_accounts_is_bounded(self) -> None:
        """10,000 accounts may be configured."""
        need = AccountNeed()
        for number in range(3 * MAX_ACCOUNTS):
            need.note_request(AccountTag(number), number / 1000)
        assert len(need) <= MAX_ACCOUNTS


class TestClaims:
    """For whom a request asks, and what a demand tells of it."""

    def test_an_accounts_priority_goes_before_the_routes(self) -> None:
        name = AccountName("mill")
        assert make_claim(ClientAccount(name, 3), 0) == Claim(account_tag(name), 3)
        assert make_claim(ClientAccount(name), 2) == Claim(account_tag(name), 2)
        assert make_claim(Anonymous(), 1) == Claim(ANONYMOUS, 1)

    def test_odd_priorities_are_bounded(self) -> None:
        """A configuration may name any number."""
        ranks = [make_claim(ClientAccount(AccountName("mill"), n), 0) for n in (-5, 10**12)]
        assert [claim.rank for claim in ranks if claim is not None] == [0, 9]

    def test_there_is_no_claim_without_accounts(self) -> None:
        assert make_claim(Unidentified(), 1) is None

    def test_a_demand_names_few_accounts_and_loses_no_utility(self) -> None:
        """Guards against messages that grow with the accounts."""
        claims = [(Claim(AccountTag(number), number % 3), float(number)) for number in range(2, 90)]
        shares = summarize_claims(claims, lambda account: 0.001)
        assert len(shares) == MAX_SHARES + 1
        assert [share.claim.account for share in shares] == [89, 88, 87, 86, OTHERS]
        assert sum(share.utility for share in shares) == sum(range(2, 90))
