"""Tests of what is known of the contact with the store, and of entries that disappear."""

import asyncio

import pytest

from dragonflyhold.gateway.daemon import HOUSEKEEPING_PERIOD_S
from dragonflyhold.gateway.store_contact import (
    EXPIRY_INTERVALS,
    RETURN_GRACE_S,
    ContactState,
    StoreContact,
)
from dragonflyhold.platform.settings import Bounds
from dragonflyhold.platform.standins.site import running_deployment
from dragonflyhold.platform.standins.store import StoreFault
from dragonflyhold.platform.store import ERA_OF_NEW_STORE, StorePosition

RENEWAL_S = 1.2
# Interval between the reads of a watch.
READ_S = 1.2
# Time after a disruption from which removals bind a gateway.
BINDING_S = 3.0


class _Harness:
    def __init__(self, renewal_s: float = RENEWAL_S, binding_s: float = float("inf")) -> None:
        self.now = 100.0
        self.position = 0
        self.contact = StoreContact(renewal_s, lambda: self.now, binding_s)

    def read(self, wait_s: float = 0.0, call_s: float = 0.0) -> ContactState:
        """Read after a time, by a call that lasts; return the state after it."""
        started_at = self.now + wait_s
        self.now = started_at + call_s
        self.position += 1
        self.contact.note_read(started_at, self._position(self.position))
        return self.contact.state

    def fail(self, wait_s: float = 0.0, call_s: float = 0.0) -> ContactState:
        """Fail to read after a time, by a call that lasts; return the state after it."""
        started_at = self.now + wait_s
        self.now = started_at + call_s
        self.contact.note_failed(started_at)
        return self.contact.state

    def may_have_expired(self, later_by: int) -> bool:
        """Return whether a removal may be an expiry that came after the last read."""
        return self.contact.may_have_expired(self._position(self.position + later_by))

    @staticmethod
    def _position(version: int) -> StorePosition:
        return StorePosition(ERA_OF_NEW_STORE, version)

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


class TestRemovals:
    """What the store removed after its return was removed because the owner has left."""

    def test_removal_after_a_start_with_failed_reads_is_final(self) -> None:
        """Guards against a start whose first read fails and that then disbelieves removals."""
        harness = _Harness()
        harness.fail()
        assert harness.read(0.05) is ContactState.RETURNING
        assert harness.may_have_expired(0)
        assert not harness.may_have_expired(1)

    def test_removal_after_the_return_from_an_outage_is_final(self) -> None:
        harness = _Harness()
        harness.read()
        harness.fail(EXPIRY_INTERVALS * RENEWAL_S)
        assert harness.may_have_expired(1)
        harness.read(0.05)
        assert harness.may_have_expired(0)
        assert not harness.may_have_expired(1)

    def test_expiry_in_the_second_of_two_outages_is_none(self) -> None:
        """Guards against a gateway without upstreams after a store that comes and goes."""
        harness = _Harness()
        harness.read()
        harness.fail(EXPIRY_INTERVALS * RENEWAL_S)
        harness.read(0.05)
        harness.fail(0.5)
        assert harness.read(0.5) is ContactState.RETURNING
        assert harness.may_have_expired(0)

    def test_removal_after_a_restore_may_be_an_expiry(self) -> None:
        """Guards against entries of a copy that expire before their owners renew them."""
        harness = _Harness()
        harness.read()
        harness.contact.note_restored()
        harness.read(0.01)
        assert harness.may_have_expired(1)

    def test_removal_in_touch_is_final(self) -> None:
        harness = _Harness()
        assert harness.may_have_expired(0)
        harness.read()
        assert not harness.may_have_expired(0)


class TestEndOfDoubt:
    """What the store removed binds a gateway again in time after an outage."""

    @pytest.mark.parametrize("call_s", [0.01, 0.8, 1.0])
    @pytest.mark.parametrize("pause_s", [0.05, 0.5])
    def test_doubt_ends_before_removals_bind_again(self, call_s: float, pause_s: float) -> None:
        """Guards against upstreams that are kept longer if the return is noticed late."""
        harness = _Harness(binding_s=BINDING_S)
        harness.read()
        harness.fail(EXPIRY_INTERVALS * RENEWAL_S, call_s)
        harness.fail(pause_s, call_s)
        # The store may be back as soon as the last failed call has begun.
        back_at = harness.now - call_s
        assert harness.read(pause_s) is ContactState.RETURNING
        left_s = back_at + BINDING_S - HOUSEKEEPING_PERIOD_S - harness.now
        assert harness.state_after(left_s) is ContactState.CONFIRMED

    @pytest.mark.parametrize("call_s", [0.35, 0.7])
    def test_outage_ends_during_a_call_that_is_answered_late(self, call_s: float) -> None:
        """Guards against the loss of upstreams that renew their entries after a silent outage."""
        harness = _Harness(binding_s=BINDING_S)
        harness.read()
        harness.fail(EXPIRY_INTERVALS * RENEWAL_S, 0.8)
        assert harness.read(0.05, call_s) is ContactState.RETURNING
        assert harness.state_after(RENEWAL_S + 0.5) is ContactState.RETURNING
        assert harness.state_after(BINDING_S - RENEWAL_S - 0.5 - call_s) is ContactState.CONFIRMED

    def test_doubt_is_settled_by_a_late_read_only(self) -> None:
        """Guards against the loss of upstreams in a cut that begins before they are back."""
        harness = _Harness(binding_s=BINDING_S)
        harness.read()
        assert harness.contact.is_settled
        harness.fail(EXPIRY_INTERVALS * RENEWAL_S)
        harness.read(0.05)
        assert harness.state_after(RETURN_GRACE_S) is ContactState.CONFIRMED
        assert not harness.contact.is_settled
        harness.read()
        assert harness.contact.is_settled

    def test_paused_process_gives_entries_time_to_come_back(self) -> None:
        """Guards against a gateway without upstreams that was paused through an outage."""
        harness = _Harness(binding_s=BINDING_S)
        harness.read()
        harness.fail(READ_S, call_s=10.0)
        assert harness.read(0.05) is ContactState.RETURNING
        assert harness.state_after(RENEWAL_S) is ContactState.RETURNING


class TestRemovalAfterOutage:
    """An upstream that leaves just after an outage gets nothing once it may end."""

    @pytest.mark.parametrize("fault", [StoreFault.REFUSING, StoreFault.UNRESPONSIVE])
    @pytest.mark.parametrize("removal_delay_s", [0.6, 1.2, 1.8])
    def test_upstream_is_dropped_in_time(self, fault: StoreFault, removal_delay_s: float) -> None:
        """Guards against a grace period that begins with the removal instead of the return."""

        async def run_scenario() -> float:
            async with running_deployment(engines=0, plain=2) as deployment:
                gateway, loop = deployment.gateways[0], asyncio.get_running_loop()
                await asyncio.sleep(0.3)
                deployment.store.fault = fault
                await asyncio.sleep(3.0)
                deployment.store.fault = StoreFault.NONE
                back_at = loop.time()
                await asyncio.sleep(removal_delay_s)
                deployment.store.remove("servers", "p0")
                removed_at = loop.time()
                async with asyncio.timeout(6):
                    while "p0" in gateway.gateway.table.views:
                        await asyncio.sleep(0.01)
                bounds = Bounds()
                bound_at = max(removed_at + bounds.drain_s, back_at + bounds.contact_s)
                return loop.time() - bound_at

        assert asyncio.run(run_scenario()) < 0


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

    @pytest.mark.parametrize("refused_s", [0.01, 0.3, 1.0])
    def test_upstream_is_dropped_at_once_if_the_first_read_failed(self, refused_s: float) -> None:
        """Guards against a start on a slow machine or path that is taken for an outage's end."""

        async def run_scenario() -> float:
            async with running_deployment(engines=0, plain=2) as deployment:
                deployment.store.fault = StoreFault.REFUSING
                await deployment.add_gateway()
                await asyncio.sleep(refused_s)
                deployment.store.fault = StoreFault.NONE
                watch = deployment.gateways[1]._registry_watch
                async with asyncio.timeout(5):
                    while not watch.has_read:
                        await asyncio.sleep(0.01)
                assert watch.contact.state is ContactState.RETURNING
                deployment.store.remove("servers", "p0")
                loop = asyncio.get_running_loop()
                removed_at = loop.time()
                async with asyncio.timeout(5):
                    while "p0" in deployment.gateways[1].gateway.table.views:
                        await asyncio.sleep(0.01)
                return loop.time() - removed_at

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
