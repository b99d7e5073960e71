"""Tests of finding a client account by the key of a request."""

import pytest

from dragonflyhold.accounts import (
    AccountDirectory,
    AccountName,
    Anonymous,
    ClientAccount,
    UnknownKeyError,
    digest_key,
)

BRANCH = ClientAccount(AccountName("branch"))
OFFICE = ClientAccount(AccountName("office"), priority=0)
DIRECTORY = AccountDirectory({digest_key(b"k1"): BRANCH, digest_key(b"k2"): OFFICE})


class TestIdentify:
    """Guards against requests that run for a caller that is not the one with their key."""

    def test_each_key_belongs_to_its_account(self) -> None:
        assert DIRECTORY.identify([b"k1"], allows_anonymous=False) is BRANCH
        assert DIRECTORY.identify([b"k2"], allows_anonymous=True) is OFFICE

    @pytest.mark.parametrize(
        "keys",
        [[], [b""], [b"k3"], [b"K1"], [b"k1 "], [b"k1", b"k1"], [b"k1", b"k2"], [b"k" * 201]],
    )
    def test_a_proper_key_is_required(self, keys: list[bytes]) -> None:
        with pytest.raises(UnknownKeyError):
            DIRECTORY.identify(keys, allows_anonymous=False)
        assert DIRECTORY.identify(keys, allows_anonymous=True) == Anonymous()

    def test_an_error_does_not_show_the_key(self) -> None:
        with pytest.raises(UnknownKeyError) as caught:
            DIRECTORY.identify([b"secret"], allows_anonymous=False)
        assert "secret" not in str(caught.value)
