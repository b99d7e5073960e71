"""Tests of the encoding of messages, also between builds of different age."""

import dataclasses

import msgpack
import pytest

from dragonflyhold.balancing import LoadRow, MemoryReport
from dragonflyhold.fairness import AccountShare, AccountTag, Claim
from dragonflyhold.gateway.messages import (
    PROTOCOL_VERSION,
    AgentHeartbeat,
    CrashDigest,
    CrashRow,
    CrashUpdate,
    DemandUpdate,
    LimitReport,
    LimitStatement,
    LimitUpdate,
    MessageError,
    OriginQuery,
    OriginReply,
    OriginRow,
    OriginUpdate,
    PermitReply,
    PermitRequest,
    TokenQuery,
    TokenReply,
    TokenReport,
    TokenRequest,
    UsedTokens,
    decode,
    encode,
)
from dragonflyhold.gateway.model import SoftwareVersion
from dragonflyhold.gateway.stream_origins import StreamKey, StreamOrigin
from dragonflyhold.ids import ServiceName
from dragonflyhold.platform.store import StorePosition
from tests.gateway.builders import demand, engine_update


def _fields(data: bytes) -> list[object]:
    return list(msgpack.unpackb(data))


ORIGIN = StreamOrigin(ServiceName("assistant"), SoftwareVersion("v1"), "e0@1")
TOKEN_REPORT = TokenReport(
    "branch", 7, 2e6, 8.25, 31, True, 60.5, [UsedTokens(0.5, 700, 9), UsedTokens(0.25, -80, 0)], 0.5
)
ORIGIN_ROW = OriginRow(StreamKey(7), ORIGIN, 0.5, True)


class TestEncoding:
    """Messages survive the way from one process to another."""

    @pytest.mark.parametrize(
        "message",
        [
            DemandUpdate([demand(1, waiting=2, running=1)]),
            DemandUpdate([], is_ping=True),
            engine_update(resident={1: 2}, loading={3: 1}, backlog=2),
            AgentHeartbeat(0.75, 3, 1),
            AgentHeartbeat(),
            CrashUpdate([CrashRow("r1@5", 0.25, [(b"c", (b"a", b"b"))], [b"a"], True)]),
            CrashDigest(b"digest"),
            LimitUpdate([LimitStatement("r1@5", 4.5, 0.25), LimitStatement("r2@5", None, 1.0)]),
            LimitReport(LimitStatement("r1@5", 4.5, 0.25), [0.5, 0.125]),
            PermitRequest(7, LimitReport(LimitStatement("r1@5", 4.5, 0.25), [])),
            PermitReply(7, 0.125),
            OriginUpdate([ORIGIN_ROW]),
            OriginQuery(3, StreamKey(2**64 - 1), "ask"),
            OriginReply(3, ORIGIN, 0.25, False),
            OriginReply(3, None),
            TOKEN_REPORT,
            TokenRequest(7, 700, 900, TOKEN_REPORT),
            TokenReply(7, 900, 0.125, "limit", 2**52 - 1, 0.5, 0.25),
            TokenQuery("branch", 5),
        ],
    )
    def test_decoded_messages_equal_the_sent_ones(self, message: object) -> None:
        assert decode(_fields(encode(message))) == message  # type: ignore[arg-type]

    def test_other_data_is_rejected(self) -> None:
        for fields in (
            [],
            [99, 1],
            [9, 1],
            [1],
            [1, [[1]]],
            [2, 1],
            [8, [[1]]],
            [9],
            [10, [[1]]],
            [12, 1],
            [17, 1, 2, 3],
            [18, 1, -1, "limit", 1, 0, 0, 0],
            [19, "branch", 1, 2e6, 8.25, 31, True, 1.0, [[1, 2]], None],
            [20],
            7,
        ):
            with pytest.raises(MessageError):
                decode(fields)


class TestMixedBuilds:
    """Old and new builds side by side during a rolling restart.

    Guards against links that close because one side does not understand the other. A build of
    version 1 reads the rows of a demand, ignores what follows them, and ignores all fields of a
    heartbeat; an engine's state must have exactly the fields of version 1.
    """

    def test_old_builds_can_read_new_messages(self) -> None:
        tag, rows, *_ = _fields(encode(DemandUpdate([demand(1)], is_ping=True)))
        assert (tag, len(rows)) == (1, 1)  # type: ignore[arg-type]
        assert _fields(encode(AgentHeartbeat(0.75, 3, 1)))[0] == 4
        assert len(_fields(encode(engine_update()))) == 12

    def test_new_builds_can_read_old_messages(self) -> None:
        assert decode([1, []]) == DemandUpdate([], is_ping=False, protocol=1)
        assert decode([4]) == AgentHeartbeat(None, None, None)

    def test_fields_of_a_later_build_are_ignored(self) -> None:
        change = StorePosition(2, 7)
        later = DemandUpdate([], True, PROTOCOL_VERSION + 1, change)
        assert decode([1, [], PROTOCOL_VERSION + 1, True, 7, 2, "more"]) == later
        expected = AgentHeartbeat(0.5, 1, 2, True, change, 60, 3)
        assert decode([4, 0.5, 1, 2, True, 7, 60, 3, 2, None, [], "more"]) == expected

    def test_loads_are_passed_on_between_new_builds_only(self) -> None:
        rows = (LoadRow("p1@7", 5, 1.2, 0.25), LoadRow("p2@7", 0, None, 0.0))
        beat = AgentHeartbeat(0.5, 1, 2, loads=rows)
        assert decode(_fields(encode(beat))) == beat
        update = DemandUpdate([demand(1)], loads=rows)
        assert decode(_fields(encode(update))) == update
        assert len(_fields(encode(DemandUpdate([demand(1)])))) == 6  # type: ignore[arg-type]

    def test_no_load_is_of_the_future(self) -> None:
        """Guards against a load that counts as the newest for ever."""
        beat = decode([4, 0.5, 1, 2, False, 0, 0, 1, 0, None, [["p1@7", 5, None, -1e9]]])
        assert isinstance(beat, AgentHeartbeat)
        assert beat.loads == (LoadRow("p1@7", 5, None, 0.0),)

    def test_loads_travel_beside_the_shares_of_accounts(self) -> None:
        """Guards against one optional field that displaces another."""
        share = AccountShare(Claim(AccountTag(7), 1), 2.0, 0.5)
        shared = dataclasses.replace(demand(1, waiting=1), shares=[share])
        loads = (LoadRow("p1@7", 5, 1.2, 0.25),)
        update = decode(_fields(encode(DemandUpdate([demand(2), shared], loads=loads))))
        assert isinstance(update, DemandUpdate)
        assert update.loads == loads
        assert [list(row.shares) for row in update.demands] == [[], [share]]

    @pytest.mark.parametrize("loads", [[1], [["p1", -1, None, 0.0]], [["p1", 1]], 7])
    def test_odd_loads_are_no_message(self, loads: object) -> None:
        with pytest.raises(MessageError):
            decode([4, 0.5, 1, 2, False, 0, 0, 1, 0, None, loads])
        with pytest.raises(MessageError):
            decode([1, [], PROTOCOL_VERSION, False, 7, 2, {"loads": loads}])

    def test_memory_is_unknown_to_an_earlier_build(self) -> None:
        """Guards against an engine that gets nothing, or anything, during a rolling restart."""
        beat = AgentHeartbeat(0.5, 1, 2, memory=MemoryReport(41_000, 90_000))
        assert decode(_fields(encode(beat))) == beat
        earlier = decode([4, 0.5, 1, 2, False, 0, 0, 1, 0])
        assert earlier == AgentHeartbeat(0.5, 1, 2)

    @pytest.mark.parametrize("memory", [[1], [1, 2, 3], [-1, 5], ["x", 5], 7, "ab"])
    def test_odd_memory_is_no_message(self, memory: object) -> None:
        with pytest.raises(MessageError):
            decode([4, 0.5, 1, 2, False, 0, 0, 1, 0, memory])

    def test_changes_of_an_earlier_build_have_no_era(self) -> None:
        """Guards against hints that seem newer than any change after a restore of the store."""
        assert decode([1, [], PROTOCOL_VERSION, False, 7]).change == StorePosition(0, 7)
        assert decode([4, 0.5, 1, 2, True, 7, 60, 3]).change == StorePosition(0, 7)
