"""Periodic timers: the timer service calls its subscribers at fixed periods."""

from dragonflyhold.timers.service import Subscription, Tick, TimerService

__all__ = ["Subscription", "Tick", "TimerService"]
