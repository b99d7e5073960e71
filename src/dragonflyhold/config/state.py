"""Immutable configuration state at one revision; readers need no lock."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import final

from dragonflyhold.config.catalogue import Catalogue, CatalogueKey, Record
from dragonflyhold.config.objects import (
    Adapter,
    AdapterVersion,
    ConfigObject,
    ObjectKey,
    ObjectType,
    Service,
    StoredObject,
    Upstream,
)
from dragonflyhold.ids import (
    AdapterKey,
    AdapterName,
    DataCentre,
    Region,
    Revision,
    ServiceName,
    Version,
)

_CATALOGUE_TYPES = (ObjectType.ADAPTER, ObjectType.VERSION)


@final
@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ConfigState:
    """All configuration objects at ``revision``."""

    revision: Revision = Revision(0)
    objects: Mapping[ObjectKey, StoredObject] = dataclasses.field(default_factory=dict)
    catalogue: Catalogue = dataclasses.field(default_factory=Catalogue)
    _upstreams: dict[ServiceName, list[Upstream]] = dataclasses.field(
        default_factory=dict, init=False
    )
    _data_centres: dict[Region, set[DataCentre]] = dataclasses.field(
        default_factory=dict, init=False
    )

    def __post_init__(self) -> None:
        for _, stored in sorted(self.objects.items()):
            if isinstance(stored.object, Upstream):
                self._index_upstream(stored.object)

    def get(self, key: ObjectKey) -> StoredObject | None:
        """Return a stored object, or ``None`` if it does not exist."""
        if key.type not in _CATALOGUE_TYPES:
            return self.objects.get(key)
        record = self.catalogue.get(_catalogue_key(key))
        return None if record is None else _from_record(_catalogue_key(key), record)

    def upstreams_of(self, service: ServiceName) -> list[Upstream]:
        """Return the upstreams of a service, sorted by name."""
        return self._upstreams.get(service, [])

    def upstreams(self) -> Iterator[Upstream]:
        """Yield all upstreams."""
        for upstreams in self._upstreams.values():
            yield from upstreams

    def data_centres(self, region: Region) -> set[DataCentre]:
        """Return the data centres of a region that have upstreams."""
        return self._data_centres.get(region, set())

    def regions(self) -> Mapping[Region, set[DataCentre]]:
        """Return the data centres that have upstreams, by region."""
        return self._data_centres

    def list_objects(
        self, type_: ObjectType, service: str = "", after: ObjectKey | None = None
    ) -> Iterator[StoredObject]:
        """Yield the objects of a type in key order, starting after ``after``."""
        if type_ in _CATALOGUE_TYPES:
            return self._list_catalogue(type_, service, after)
        return self._list_uncatalogued(type_, service, after)

    def with_writes(
        self, writes: Mapping[ObjectKey, StoredObject | None], revision: Revision
    ) -> "ConfigState":
        """Return the state at ``revision``; an object is removed where its write is ``None``."""
        objects = dict(self.objects)
        records: dict[CatalogueKey, Record | None] = {}
        for key, stored in writes.items():
            if key.type in _CATALOGUE_TYPES:
                records[_catalogue_key(key)] = _to_record(stored)
            elif stored is None:
                objects.pop(key, None)
            else:
                objects[key] = stored
        return ConfigState(revision, objects, self.catalogue.with_writes(records))

    def _index_upstream(self, upstream: Upstream) -> None:
        self._upstreams.setdefault(upstream.service, []).append(upstream)
        stored = self.objects.get(ObjectKey(ObjectType.SERVICE, "", upstream.service))
        if stored is not None and isinstance(stored.object, Service):
            region = stored.object.region
            self._data_centres.setdefault(region, set()).add(upstream.data_centre)

    def _list_uncatalogued(
        self, type_: ObjectType, service: str, after: ObjectKey | None
    ) -> Iterator[StoredObject]:
        for key in sorted(key for key in self.objects if key.type is type_):
            stored = self.objects[key]
            if after is not None and key <= after:
                continue
            if service and service != getattr(stored.object, "service", key.name):
                continue
            yield stored

    def _list_catalogue(
        self, type_: ObjectType, service: str, after: ObjectKey | None
    ) -> Iterator[StoredObject]:
        start = None if after is None else _catalogue_key(after)
        for key, record in self.catalogue.entries(service, after=start):
            if (key.version == 0) == (type_ is ObjectType.ADAPTER):
                yield _from_record(key, record)


def _catalogue_key(key: ObjectKey) -> CatalogueKey:
    return CatalogueKey(key.service, key.name, key.version)


def _to_record(stored: StoredObject | None) -> Record | None:
    if stored is None:
        return None
    weights = stored.object.weights if isinstance(stored.object, AdapterVersion) else ""
    return Record(weights, stored.revision)


def _from_record(key: CatalogueKey, record: Record) -> StoredObject:
    service, adapter = ServiceName(key.service), AdapterName(key.adapter)
    value: ConfigObject
    if key.version:
        version_key = AdapterKey(service, adapter, Version(key.version))
        value = AdapterVersion(key=version_key, weights=record.weights)
    else:
        value = Adapter(service=service, name=adapter)
    return StoredObject(value, Revision(record.revision))
