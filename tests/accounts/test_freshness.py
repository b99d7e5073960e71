"""Tests of what is accepted while a gateway's configuration may be out of date."""

import pytest

from dragonflyhold.accounts import (
    AccountDirectory,
    AccountName,
    Anonymous,
    ClientAccount,
    Freshness,
    KeyRejection,
    StoreContact,
    UnconfirmedKeyError,
    UnknownKeyError,
    digest_key,
    judge_freshness,
)

BRANCH = ClientAccount(AccountName("branch"))
DIRECTORY = AccountDirectory({digest_key(b"k1"): BRANCH})
MAX_AGE_S = 5.0


class TestJudgeFreshness:
    """Guards against removed keys that stay valid, and valid ones that lapse too early."""

    @pytest.mark.parametrize(
        ("confirmed_at", "is_behind", "max_age_s", "expected"),
        [
            (100.0, False, None, Freshness.CURRENT),
            (0.0, False, None, Freshness.CURRENT),
            (100.0, True, None, Freshness.BEHIND),
            (None, False, None, Freshness.BEHIND),
            (95.0, False, MAX_AGE_S, Freshness.CURRENT),
            (95.0, True, MAX_AGE_S, Freshness.BEHIND),
            (94.9, False, MAX_AGE_S, Freshness.STALE),
            (94.9, True, MAX_AGE_S, Freshness.STALE),
            (None, False, MAX_AGE_S, Freshness.STALE),
        ],
    )
    def test_cases(
        self,
        confirmed_at: float | None,
        is_behind: bool,
        max_age_s: float | None,
        expected: Freshness,
    ) -> None:
        contact = StoreContact(confirmed_at, is_behind)
        assert judge_freshness(contact, max_age_s, now=100.0) is expected


class TestIdentify:
    """Guards against a final rejection of a key that a newer configuration may name."""

    def test_a_known_key_is_valid_while_a_change_is_not_read(self) -> None:
        assert DIRECTORY.identify([b"k1"], False, Freshness.BEHIND) is BRANCH

    @pytest.mark.parametrize(
        ("key", "freshness", "rejection"),
        [
            (b"new", Freshness.BEHIND, KeyRejection.BEHIND),
            (b"new", Freshness.STALE, KeyRejection.STALE),
            (b"k1", Freshness.STALE, KeyRejection.STALE),
        ],
    )
    def test_a_key_that_may_be_valid_is_not_rejected_for_good(
        self, key: bytes, freshness: Freshness, rejection: KeyRejection
    ) -> None:
        with pytest.raises(UnconfirmedKeyError) as caught:
            DIRECTORY.identify([key], allows_anonymous=False, freshness=freshness)
        assert caught.value.rejection is rejection

    @pytest.mark.parametrize("freshness", list(Freshness))
    @pytest.mark.parametrize(
        ("keys", "rejection"),
        [
            ([], KeyRejection.MISSING),
            ([b""], KeyRejection.EMPTY),
            ([b"k1", b"k1"], KeyRejection.REPEATED),
            ([b"k" * 65_537], KeyRejection.OVERLONG),
        ],
    )
    def test_what_no_configuration_accepts_is_rejected_for_good(
        self, keys: list[bytes], rejection: KeyRejection, freshness: Freshness
    ) -> None:
        with pytest.raises(UnknownKeyError) as caught:
            DIRECTORY.identify(keys, allows_anonymous=False, freshness=freshness)
        assert caught.value.rejection is rejection

    def test_a_lapsed_key_gives_no_account_on_an_open_route(self) -> None:
        assert DIRECTORY.identify([b"k1"], True, Freshness.STALE) == Anonymous()
