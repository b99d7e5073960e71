"""Tests of decoding the accounts of a configuration."""

from typing import Any

import pytest

from dragonflyhold.accounts import (
    AccountDirectory,
    AccountProblem,
    ClientAccount,
    TokenLimit,
    UnknownKeyError,
)
from dragonflyhold.platform.accounts import decode_accounts
from dragonflyhold.platform.codec import decode_configuration
from dragonflyhold.platform.standins.site import configuration

GOOD = {"name": "good", "api_keys": ["k1"], "unit": "tokens", "rate_per_s": 10, "burst": 5}
SECRET = "sEcReT-kEy"


def _decode(*entries: Any) -> AccountDirectory:
    directory = decode_accounts([*entries, GOOD])
    assert directory is not None
    return directory


def _counts(directory: AccountDirectory) -> dict[AccountProblem, int]:
    return {problem: summary.count for problem, summary in directory.problems.items()}


class TestOddAccounts:
    """Guards against one odd entry that takes a whole configuration out of force."""

    @pytest.mark.parametrize("entry", [None, 1, "a", [], [SECRET], {}, {"api_keys": [SECRET]}])
    def test_an_entry_without_a_name_is_ignored(self, entry: Any) -> None:
        directory = _decode(entry)
        assert (list(directory.accounts), len(directory)) == (["good"], 1)
        assert _counts(directory) == {AccountProblem.NO_ACCOUNT: 1}

    @pytest.mark.parametrize("name", [None, 7, "", " a", "a ", "ä", "a\r\nb", "a" * 65_537, ["a"]])
    def test_a_name_that_no_header_can_carry_is_none(self, name: Any) -> None:
        directory = _decode({"name": name, "api_keys": [SECRET]})
        assert list(directory.accounts) == ["good"]
        with pytest.raises(UnknownKeyError):
            directory.identify([SECRET.encode()], allows_anonymous=False)

    @pytest.mark.parametrize("keys", [SECRET, {SECRET: 1}, 5, True])
    def test_keys_that_are_no_list_are_ignored(self, keys: Any) -> None:
        directory = _decode({"name": "a", "api_keys": keys})
        assert (set(directory.accounts), len(directory)) == ({"a", "good"}, 1)
        assert directory.problems[AccountProblem.KEY_INVALID].examples == ["a"]

    @pytest.mark.parametrize("value", [{}, {"a": {"api_keys": [SECRET]}}, SECRET, 0, False])
    def test_accounts_that_are_no_list_admit_nobody(self, value: Any) -> None:
        """Guards against an odd value that opens all routes."""
        fields = configuration(2)
        fields["tenants"] = value
        accounts = decode_configuration(fields).accounts
        assert accounts is not None
        assert (len(accounts), _counts(accounts)) == (0, {AccountProblem.NO_LIST: 1})

    def test_no_problem_shows_a_key(self) -> None:
        directory = _decode(
            {"name": "a", "api_keys": [SECRET, SECRET + "\n"]},
            {"name": "b", "api_keys": [SECRET, [SECRET], {SECRET: SECRET}]},
            {"api_keys": [SECRET]},
            SECRET,
        )
        assert len(directory.problems) >= 4
        assert SECRET not in repr(directory.problems)


class TestLimits:
    """Guards against odd limits that stop an account or exceed what it states."""

    @pytest.mark.parametrize(
        "rate", [-1, "10", True, [], 1e13, float("nan"), float("inf"), -float("inf")]
    )
    def test_a_rate_that_is_not_valid_is_no_limit(self, rate: Any) -> None:
        directory = _decode({"name": "a", "api_keys": ["k2"], "rate_per_s": rate, "burst": 7})
        assert directory.identify([b"k2"], False) == ClientAccount(directory.accounts["a"].name)
        assert _counts(directory) == {AccountProblem.LIMIT_INVALID: 1}

    @pytest.mark.parametrize("fields", [{}, {"rate_per_s": 0}, {"rate_per_s": None, "burst": 5}])
    def test_without_a_rate_there_is_no_limit(self, fields: dict[str, Any]) -> None:
        directory = _decode({"name": "a", "api_keys": ["k2"], **fields})
        assert directory.accounts[next(iter(directory.accounts))].limit is None
        assert not directory.problems

    def test_the_valid_part_of_a_limit_holds(self) -> None:
        fields = {"rate_per_s": 9, "burst": -4, "unit": "tokens", "plain_tokens": "many"}
        directory = _decode({"name": "a", "api_keys": ["k2"], **fields})
        assert next(iter(directory.accounts.values())).limit == TokenLimit(9, 0, 1)
        assert _counts(directory) == {AccountProblem.LIMIT_INVALID: 2}

    @pytest.mark.parametrize(
        ("unit", "counts_tokens", "problems"),
        [("tokens", True, 0), (None, False, 0), ("requests", False, 0), ("bytes", False, 1)],
    )
    def test_units(self, unit: Any, counts_tokens: bool, problems: int) -> None:
        directory = _decode({"name": "a", "api_keys": ["k2"], "rate_per_s": 9, "unit": unit})
        limit = next(iter(directory.accounts.values())).limit
        assert limit is not None
        assert limit.counts_tokens is counts_tokens
        assert sum(_counts(directory).values()) == problems

    @pytest.mark.parametrize("priority", [-1, 1.5, "0", True, 2**60])
    def test_a_priority_that_is_not_valid_leaves_that_of_the_route(self, priority: Any) -> None:
        directory = _decode({"name": "a", "api_keys": ["k2"], "priority": priority})
        assert next(iter(directory.accounts.values())).priority is None
        assert _counts(directory) == {AccountProblem.PRIORITY_INVALID: 1}


class TestManyAccounts:
    """Guards against problems that are kept one by one."""

    def test_ten_thousand_accounts_with_a_hundred_keys(self) -> None:
        entries = [
            {"name": f"a{account}", "api_keys": [f"{account}-{key}" for key in range(100)]}
            for account in range(10_000)
        ]
        directory = decode_accounts([*entries, *entries])
        assert directory is not None
        assert (len(directory), len(directory.accounts)) == (1_000_000, 10_000)
        assert _counts(directory) == {AccountProblem.NAME_REPEATED: 10_000}
        assert len(directory.problems[AccountProblem.NAME_REPEATED].examples) < 10
