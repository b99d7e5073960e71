"""Clients of the platform: table, object store and VM list."""

from dragonflyhold.platform.object_store import HttpObjectStore
from dragonflyhold.platform.table import HttpTable
from dragonflyhold.platform.vm_list import HttpVmList

__all__ = ["HttpObjectStore", "HttpTable", "HttpVmList"]
