"""The timer service: parts subscribe to a period and get ticks."""

from dragonflyhold.timers.service import Subscription, Tick, TimerService

__all__ = ["Subscription", "Tick", "TimerService"]
