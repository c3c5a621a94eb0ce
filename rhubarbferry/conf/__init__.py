"""Settings of a process, their defaults and their validation."""

from rhubarbferry.conf.loader import load_settings, parse_settings, require_settings
from rhubarbferry.conf.problems import Problem, SettingsError
from rhubarbferry.conf.settings import Settings

__all__ = [
    "Problem",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
    "require_settings",
]
