"""Protects a process from its clients: which connections it keeps, and whose turn it is."""

from dragonflyhold.ingress.connection_table import REUSE_S, ConnectionTable, Standing
from dragonflyhold.ingress.descriptors import DescriptorLimits
from dragonflyhold.ingress.turns import Turns

__all__ = ["REUSE_S", "ConnectionTable", "DescriptorLimits", "Standing", "Turns"]
