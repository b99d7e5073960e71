"""Exit codes of the operator commands."""

import enum


class Exit(enum.IntEnum):
    """Exit codes, as documented in ``EXIT_HELP``."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    IN_DOUBT = 4
    UNREACHABLE = 5


EXIT_HELP = (
    "Exit codes: 0 success; 1 refused or failed; 2 usage error; 3 conflict with another change; "
    "4 in doubt, the change may or may not have been accepted (see 'change show'); "
    "5 the entry daemon is unreachable."
)
