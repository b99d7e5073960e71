"""Tests of the in-process deployment."""

import ipaddress

from dragonflyhold.platform.standins.site import HOSTS_PER_SUBNET, draw_host


class TestHosts:
    """Guards against tests that fail once many daemons were started in one process."""

    def test_hosts_are_valid_and_never_repeat(self) -> None:
        hosts = [ipaddress.ip_address(draw_host()) for _ in range(3 * HOSTS_PER_SUBNET)]
        assert len(set(hosts)) == len(hosts)
        assert all(host.is_loopback for host in hosts)
