"""What can be wrong with an operator's request; the text of an error is for the operator."""


class ConfigurationError(Exception):
    """A request of an operator that was not carried out, and changed nothing."""


class OperatorCallError(ConfigurationError):
    """The call is malformed: the operator's mistake."""


class SettingsFileError(ConfigurationError):
    """The named file cannot be read or has no settings in it."""


class RolloutRefusedError(ConfigurationError):
    """The call is well formed, but the state of the members or the limiter does not allow it."""
