"""Errors in an operator's request; their messages are shown to the operator."""


class ConfigurationError(Exception):
    """An operator's request was not carried out and changed nothing."""


class OperatorCallError(ConfigurationError):
    """The operator's call is malformed."""


class SettingsFileError(ConfigurationError):
    """The named file cannot be read or contains no settings."""


class RolloutRefusedError(ConfigurationError):
    """The call is well formed, but the state of the limiter or of the members does not allow it."""
