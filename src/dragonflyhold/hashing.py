"""64-bit hashes for rendezvous hashing, identical in every process."""

import hashlib

_MASK = (1 << 64) - 1


def hash64(data: bytes) -> int:
    """Return a 64-bit hash that, unlike ``hash()``, is not randomized per process."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def combine(left: int, right: int) -> int:
    """Mix two 64-bit hashes with the splitmix64 finalizer, cheaper than a digest per pair."""
    value = (left ^ right) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)
