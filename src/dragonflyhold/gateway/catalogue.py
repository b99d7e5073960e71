"""Configuration and adapter versions, as published by the operator."""

from collections.abc import Callable
from typing import final

import orjson

from dragonflyhold.accounts import AccountDirectory
from dragonflyhold.gateway.clock import monotonic_now
from dragonflyhold.gateway.logs import JsonLogger
from dragonflyhold.gateway.model import Configuration, EngineSpec, ModelAdapter, Service
from dragonflyhold.ids import ServiceName, Version
from dragonflyhold.platform.codec import DecodeError, decode_adapter_version, decode_configuration
from dragonflyhold.platform.store import CONFIG_KEY, VERSION_PREFIX, StoredRow


@final
class Catalogue:
    """Keeps the newest configuration and adapter versions seen; older ones are ignored."""

    def __init__(
        self,
        on_configuration: Callable[[Configuration], None] = lambda configuration: None,
        on_version: Callable[[ModelAdapter, Version], None] = lambda key, version: None,
        clock: Callable[[], float] = monotonic_now,
        count: Callable[[str], None] = lambda event: None,
    ) -> None:
        self.configuration: Configuration | None = None
        # Whether the newest row of the configuration is invalid, so that an older one is in force.
        self.is_newest_invalid = False
        self.versions: dict[ModelAdapter, Version] = {}
        # Monotonic time at which this process first saw each current version.
        self.first_seen_at: dict[ModelAdapter, float] = {}
        self._on_configuration = on_configuration
        self._on_version = on_version
        self._clock = clock
        self._count = count
        self._log = JsonLogger("config")

    def engine_spec(self, name: ServiceName) -> EngineSpec | None:
        """Return the engine limits of a service, ``None`` if no engines run it."""
        service = self.configuration.services.get(name) if self.configuration is not None else None
        return service.engine if service is not None else None

    def engine_services(self) -> list[Service]:
        """Return the services that are run by engines."""
        if self.configuration is None:
            return []
        return [item for item in self.configuration.services.values() if item.engine]

    def sole_engine_service(self) -> Service | None:
        """Return the service that every engine belongs to, ``None`` if there are several."""
        services = self.engine_services()
        return services[0] if len(services) == 1 else None

    def apply(self, row: StoredRow) -> None:
        """Apply a changed row of the operator's table."""
        if row.removed:
            return
        try:
            value = orjson.loads(row.value)
            if row.key == CONFIG_KEY:
                self._apply_configuration(decode_configuration(value), row.version)
            elif row.key.startswith(VERSION_PREFIX):
                key, version = decode_adapter_version(value)
                self.apply_version(key, version)
        except (ValueError, DecodeError) as error:
            self._count("operator_row_invalid")
            self._log.warning(
                "An invalid row of the operator's table was ignored.",
                key=row.key,
                row_version=row.version,
                in_force=self.configuration.version if self.configuration is not None else None,
                error=str(error),
            )
            self.is_newest_invalid |= row.key == CONFIG_KEY

    def apply_version(self, key: ModelAdapter, version: Version) -> None:
        """Record an adapter version if it is newer than the known one."""
        if version <= self.versions.get(key, Version(0)):
            return
        self.versions[key] = version
        self.first_seen_at[key] = self._clock()
        self._log.info(
            "An adapter version was published.",
            model=key.model,
            adapter=key.adapter,
            version=version,
        )
        self._on_version(key, version)

    def _apply_configuration(self, configuration: Configuration, row_version: int) -> None:
        self.is_newest_invalid = False
        old = self.configuration
        if old is not None and configuration.version <= old.version:
            if configuration.version < old.version:
                self._log.warning(
                    "An older configuration was ignored.",
                    version=configuration.version,
                    in_force=old.version,
                )
            return
        self.configuration = configuration
        self._log.info(
            "A configuration is in force.",
            version=configuration.version,
            row_version=row_version,
            routes=sum(len(group) for group in configuration.routes.values()),
            accounts=None
            if configuration.accounts is None
            else len(configuration.accounts.accounts),
            keys=None if configuration.accounts is None else len(configuration.accounts),
        )
        if configuration.accounts is not None:
            self._note_problems(configuration.accounts, configuration.version)
        self._on_configuration(configuration)

    def _note_problems(self, accounts: AccountDirectory, version: int) -> None:
        for problem, summary in accounts.problems.items():
            self._count(f"account_{problem.value}")
            self._log.warning(
                "A part of the configuration's accounts is ignored.",
                version=version,
                problem=problem.value,
                count=summary.count,
                accounts=summary.examples,
            )
