"""Clients of the platform services: table, object store and VM list."""

from dragonflyhold.storage.object_store import HttpObjectStore
from dragonflyhold.storage.table import HttpTable
from dragonflyhold.storage.vm_list import HttpVmList

__all__ = ["HttpObjectStore", "HttpTable", "HttpVmList"]
