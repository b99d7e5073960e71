"""Tests of what is known of the contact with the store, and of entries that disappear."""

import asyncio

from dragonflyhold.gateway.store_contact import (
    EXPIRY_INTERVALS,
    RETURN_GRACE_S,
    ContactState,
    StoreContact,
)
from dragonflyhold.platform.standins.site import running_deployment
from dragonflyhold.platform.standins.store import StoreFault

RENEWAL_S = 1.2
# Interval between the reads of a watch.
READ_S = 1.2


class _Harness:
    def __init__(self, renewal_s: float = RENEWAL_S) -> None:
        self.now = 100.0
        self.contact = StoreContact(renewal_s, lambda: self.now)

    def read(self, wait_s: float = 0.0) -> ContactState:
        """Read after a time; return the state after it."""
        self.now += wait_s
        self.contact.note_read(self.now)
        return self.contact.state

    def fail(self, wait_s: float = 0.0) -> ContactState:
        """Fail to read after a time; return the state after it."""
        self.now += wait_s
        self.contact.note_failed()
        return self.contact.state

    def state_after(self, wait_s: float) -> ContactState:
        """Return the state after a time."""
        self.now += wait_s
        return self.contact.state


class TestStates:
    """A start, a failed read, an outage and a restore are kept apart."""

    def test_first_read_confirms(self) -> None:
        """Guards against a start that is taken for the end of an outage."""
        harness = _Harness()
        assert harness.contact.state is ContactState.NEVER_READ
        assert harness.read() is ContactState.CONFIRMED

    def test_first_read_after_a_failed_one_ends_an_outage_of_unknown_length(self) -> None:
        harness = _Harness()
        assert harness.fail() is ContactState.AWAY
        assert harness.read(0.05) is ContactState.RETURNING
        assert harness.state_after(RETURN_GRACE_S) is ContactState.CONFIRMED

    def test_single_failed_read_leaves_removals_final(self) -> None:
        """Guards against upstreams that are kept for an outage too short to expire entries."""
        harness = _Harness()
        harness.read()
        assert harness.fail(READ_S) is ContactState.AWAY
        assert harness.read(0.05) is ContactState.CONFIRMED

    def test_any_failed_read_counts_if_renewals_are_not_known(self) -> None:
        harness = _Harness(renewal_s=0.0)
        harness.read()
        harness.fail(READ_S)
        assert harness.read(0.05) is ContactState.RETURNING

    def test_long_outage_counts_from_the_last_read_before_it(self) -> None:
        harness = _Harness()
        harness.read()
        harness.fail(READ_S)
        assert harness.read(EXPIRY_INTERVALS * RENEWAL_S - READ_S + 0.01) is ContactState.RETURNING
        assert harness.state_after(RETURN_GRACE_S - 0.1) is ContactState.RETURNING
        assert harness.state_after(0.11) is ContactState.CONFIRMED

    def test_short_outages_in_a_row_count_as_one(self) -> None:
        """Guards against renewals that all fell into one of several short outages."""
        harness = _Harness()
        harness.read()
        harness.fail(READ_S)
        assert harness.read(0.1) is ContactState.CONFIRMED
        harness.fail(0.8)
        assert harness.read(0.1) is ContactState.RETURNING

    def test_restored_store_may_lack_entries(self) -> None:
        harness = _Harness()
        harness.read()
        harness.contact.note_restored()
        assert harness.read(0.01) is ContactState.RETURNING
        assert harness.state_after(RETURN_GRACE_S) is ContactState.CONFIRMED


class TestRemovalAfterStart:
    """An upstream that leaves gets nothing, also from a gateway that has just started."""

    def test_upstream_is_dropped_at_once(self) -> None:
        """Guards against requests to an upstream that has left and is about to end."""

        async def run_scenario() -> float:
            async with running_deployment(engines=0, plain=2) as deployment:
                table = deployment.gateways[0].gateway.table
                deployment.store.remove("servers", "p0")
                loop = asyncio.get_running_loop()
                removed_at = loop.time()
                async with asyncio.timeout(5):
                    while "p0" in table.views:
                        await asyncio.sleep(0.01)
                return loop.time() - removed_at

        # The interval between two reads, and some time for them.
        assert asyncio.run(run_scenario()) < READ_S + 0.4

    def test_entries_that_expired_in_an_outage_stay(self) -> None:
        """Guards against a gateway without upstreams after an outage."""

        async def run_scenario() -> list[str]:
            async with running_deployment(engines=0, plain=2) as deployment:
                table = deployment.gateways[0].gateway.table
                await asyncio.sleep(0.3)
                deployment.store.fault = StoreFault.REFUSING
                await asyncio.sleep(2.5)
                entries = {key: item.entry() for key, item in deployment.upstreams.items()}
                for key in entries:
                    deployment.store.remove("servers", key)
                deployment.store.fault = StoreFault.NONE
                known = []
                for _ in range(15):
                    await asyncio.sleep(0.1)
                    known.append(len(table.views))
                for key, entry in entries.items():
                    deployment.store.put("servers", key, entry)
                await asyncio.sleep(2)
                return [str(count) for count in (*known, len(table.views))]

        assert set(asyncio.run(run_scenario())) == {"2"}
