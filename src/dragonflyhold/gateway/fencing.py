"""The fencing token with which an agent sends commands to its engine.

A token is the position of a write to the store, as one number. It rises with each write, also after
a restore of the store, which gives lost versions out again.
"""

from typing import final

import orjson

from dragonflyhold.errors import PlatformUnavailableError
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.platform.store import MetadataStore

# Table, and its parts, whose row versions serve as fencing tokens.
FENCE_TABLE = "dragonflyhold"
FENCE_PARTS = ("", "fence-1", "fence-2", "fence-3", "fence-4", "fence-5")
# Bits of a token for the version. JSON numbers of 53 bits leave room for 8,191 eras.
VERSION_BITS = 40


@final
class FencingToken:
    """A token from the store's history, acquired once per process."""

    def __init__(self, holder: str, store: MetadataStore) -> None:
        self.value: int | None = None
        self._holder = holder
        self._store = store
        self._log = JsonLogger("agent")

    async def acquire(self) -> bool:
        """Acquire the token unless it is held; return whether it is held now.

        Any write takes the counter's next value; if one part of the table is unavailable, another
        may accept the write.
        """
        for part in FENCE_PARTS:
            if self.value is not None:
                return True
            try:
                position = await self._store.write(
                    FENCE_TABLE, self._holder, orjson.dumps({"holder": self._holder}), part
                )
                self.value = position.era << VERSION_BITS | position.version
                self._log.info("A fencing token was acquired.", token=self.value, store_part=part)
            except PlatformUnavailableError as error:
                self._log.warning("No fencing token was issued.", store_part=part, error=str(error))
        return self.value is not None
