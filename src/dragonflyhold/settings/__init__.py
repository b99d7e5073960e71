"""Settings of the daemons: data classes that are loaded and validated from JSON with comments."""

from dragonflyhold.settings.loader import (
    SettingError,
    SettingsError,
    load_settings,
    parse_settings,
)
from dragonflyhold.settings.model import (
    AdmissionSettings,
    AnswerSettings,
    ConfigSettings,
    EntrySettings,
    HttpSettings,
    LoadBudgetSettings,
    LogSettings,
    PermitSettings,
    PlatformSettings,
    RetrySettings,
    RoutingSettings,
    SidecarSettings,
    SlotSettings,
    TlsSettings,
    TransportSettings,
    UpstreamSettings,
)

__all__ = [
    "AdmissionSettings",
    "AnswerSettings",
    "ConfigSettings",
    "EntrySettings",
    "HttpSettings",
    "LoadBudgetSettings",
    "LogSettings",
    "PermitSettings",
    "PlatformSettings",
    "RetrySettings",
    "RoutingSettings",
    "SettingError",
    "SettingsError",
    "SidecarSettings",
    "SlotSettings",
    "TlsSettings",
    "TransportSettings",
    "UpstreamSettings",
    "load_settings",
    "parse_settings",
]
