"""Conversion of numbers that peers state in text."""

MAX_DIGITS = 15


def parse_digits(value: str | bytes) -> int | None:
    """Return the number that ASCII digits state, ``None`` for other or too many characters.

    ``isdigit`` alone is true for other digits too, and ``int`` fails for thousands of them.
    """
    if value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS:
        return int(value)
    return None
