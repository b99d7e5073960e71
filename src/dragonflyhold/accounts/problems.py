"""What is ignored of a configuration's accounts, without the text of any key."""

import dataclasses
import enum
from typing import final

# Accounts that are named for each problem.
MAX_EXAMPLES = 5


class AccountProblem(enum.Enum):
    """A part of the accounts that is ignored; values appear in metrics and logs."""

    # The accounts are no list: none of them is known.
    NO_LIST = "no_list"
    # The account is no object or has no name that a header can carry: its keys are unknown.
    NO_ACCOUNT = "no_account"
    # A further entry of an account adds its keys only.
    NAME_REPEATED = "name_repeated"
    NO_KEYS = "no_keys"
    KEY_INVALID = "key_invalid"
    # The first account that names a key holds it.
    KEY_SHARED = "key_shared"
    PRIORITY_INVALID = "priority_invalid"
    # The account has no limit, or a part of the limit has its default.
    LIMIT_INVALID = "limit_invalid"


@final
@dataclasses.dataclass(slots=True)
class ProblemSummary:
    """How often a problem occurs, and some of the accounts that have it."""

    count: int = 0
    examples: list[str] = dataclasses.field(default_factory=list)

    def add(self, account: str) -> None:
        """Count the problem at an account."""
        self.count += 1
        if len(self.examples) < MAX_EXAMPLES and account not in self.examples:
            self.examples.append(account)
