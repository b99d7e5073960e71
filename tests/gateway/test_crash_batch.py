"""Tests of the messages that tell of crashes."""

import asyncio

from dragonflyhold.gateway.crash_batch import BATCH_S, CrashBatch
from dragonflyhold.gateway.crash_evidence import CrashEvidence, CrashId, RequestTraits, Trait
from dragonflyhold.gateway.messages import CrashUpdate

REQUESTS = 60


def _traits(number: int) -> RequestTraits:
    return RequestTraits(Trait(b"content %d" % number), (Trait(b"shared"), Trait(b"%d" % number)))


class TestCrashBatch:
    """Guards against a message to all gateways for each request that was in flight at a crash."""

    def test_the_requests_of_a_crash_are_told_in_one_message(self) -> None:
        evidence, sent = CrashEvidence(), list[CrashUpdate]()

        async def run() -> None:
            batch = CrashBatch(evidence, sent.append)
            for number in range(REQUESTS):
                batch.add(evidence.record_crash(CrashId("r1@1"), _traits(number)))
            await asyncio.sleep(0)
            assert sent == []
            await asyncio.sleep(BATCH_S * 1.5)
            batch.add([])
            await asyncio.sleep(BATCH_S * 1.5)

        asyncio.run(run())
        assert len(sent) == 1
        other = CrashEvidence()
        other.apply(sent[0])
        assert other.digest == evidence.digest

    def test_later_news_are_told_again(self) -> None:
        """Guards against news that are lost between two messages."""
        evidence, other = CrashEvidence(), CrashEvidence()

        async def run() -> int:
            messages = []

            def send(update: CrashUpdate) -> None:
                messages.append(update)
                other.apply(update)

            batch = CrashBatch(evidence, send)
            for number in range(3):
                batch.add(evidence.record_crash(CrashId("r1@1"), _traits(number)))
                batch.add(evidence.note_answered(_traits(number)))
                await asyncio.sleep(BATCH_S * 1.5)
            return len(messages)

        assert asyncio.run(run()) == 3
        assert other.digest == evidence.digest
