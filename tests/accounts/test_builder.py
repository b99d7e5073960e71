"""Tests of building the directory of accounts from entries that contradict each other."""

import pytest

from dragonflyhold.accounts import (
    AccountDirectory,
    AccountName,
    AccountProblem,
    ClientAccount,
    DirectoryBuilder,
    KeyRejection,
    TokenLimit,
    UnknownKeyError,
)

SLOW = TokenLimit(rate_per_s=1, burst=1, plain_tokens=1)


def _account(name: str, limit: TokenLimit | None = None) -> ClientAccount:
    return ClientAccount(AccountName(name), limit=limit)


def _holder(directory: AccountDirectory, key: bytes) -> str:
    caller = directory.identify([key], allows_anonymous=False)
    assert isinstance(caller, ClientAccount)
    return caller.name


class TestContradictions:
    """Guards against gateways that disagree on the account of a key."""

    def test_the_first_account_that_names_a_key_holds_it(self) -> None:
        builder = DirectoryBuilder()
        builder.add(_account("a"), ["shared", "k1"])
        builder.add(_account("b"), ["k2", "shared"])
        directory = builder.build()
        assert [_holder(directory, key) for key in (b"shared", b"k1", b"k2")] == ["a", "a", "b"]
        summary = directory.problems[AccountProblem.KEY_SHARED]
        assert (summary.count, summary.examples) == (1, ["b (held by a)"])

    def test_a_further_entry_of_an_account_adds_keys_only(self) -> None:
        """Guards against a second limit, by which requests of one account would be counted."""
        builder = DirectoryBuilder()
        builder.add(_account("a", SLOW), ["k1"])
        builder.add(_account("a"), ["k2"])
        directory = builder.build()
        callers = [directory.identify([key], False) for key in (b"k1", b"k2")]
        assert callers == [_account("a", SLOW)] * 2
        assert directory.problems[AccountProblem.NAME_REPEATED].count == 1

    def test_a_key_named_twice_by_its_account_is_no_problem(self) -> None:
        builder = DirectoryBuilder()
        builder.add(_account("a"), ["k1", "k1"])
        directory = builder.build()
        assert (len(directory), dict(directory.problems)) == (1, {})


class TestOddKeys:
    """Guards against one odd key that takes others out of force, or that shows in a problem."""

    @pytest.mark.parametrize(
        "key",
        [
            None,
            7,
            True,
            [],
            {"k": "v"},
            "",
            " k",
            "k ",
            "k\n",
            "\ud800",
            "k" * 65_537,
            "é" * 32_769,
        ],
    )
    def test_only_the_odd_key_is_ignored(self, key: object) -> None:
        builder = DirectoryBuilder()
        builder.add(_account("a"), ["k1", key, "k2"])
        directory = builder.build()
        assert [_holder(directory, good) for good in (b"k1", b"k2")] == ["a", "a"]
        summary = directory.problems[AccountProblem.KEY_INVALID]
        assert (len(directory), summary.examples) == (2, ["a"])

    @pytest.mark.parametrize("length", [201, 8_000])
    def test_a_key_has_no_limit_of_its_own(self, length: int) -> None:
        """Guards against clients that are rejected for a key that the configuration names."""
        builder = DirectoryBuilder()
        builder.add(_account("a"), ["k" * length])
        assert _holder(builder.build(), b"k" * length) == "a"

    def test_a_key_outside_ascii_is_compared_by_its_bytes(self) -> None:
        builder = DirectoryBuilder()
        builder.add(_account("a"), ["schlüssel"])
        assert _holder(builder.build(), "schlüssel".encode()) == "a"

    def test_an_account_without_keys_is_known(self) -> None:
        """Guards against the loss of a limit while an account's keys are exchanged."""
        builder = DirectoryBuilder()
        builder.add(_account("a", SLOW), [])
        directory = builder.build()
        assert directory.accounts == {"a": _account("a", SLOW)}
        assert directory.problems[AccountProblem.NO_KEYS].examples == ["a"]
        with pytest.raises(UnknownKeyError) as caught:
            directory.identify([b"k"], allows_anonymous=False)
        assert caught.value.rejection is KeyRejection.UNKNOWN
