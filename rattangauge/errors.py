"""Errors with codes, and findings about faults of an input."""

import traceback
from typing import NamedTuple


class Finding(NamedTuple):
    """One fault of an input file or message.

    Attributes:
        place: File, object or section, such as ``routes.toml: route orders``.
        field: Field or key with the fault; empty if it concerns the place.
        message: What is wrong, naming the value.
        code: Error code.
    """

    place: str
    field: str
    message: str
    code: str

    def __str__(self) -> str:
        """Formats the finding as one line for operators."""
        parts = [part for part in (self.place, self.field) if part]
        return f"{': '.join([*parts, self.message])} [{self.code}]"


class CodedError(Exception):
    """An error with a code of ``generated.errorcodes``.

    Attributes:
        code: Error code.
        message: What happened, as text for operators.
        place: Where it happened: an address, a path or an object; or empty.
    """

    def __init__(self, code: str, message: str, place: str = "") -> None:
        """Creates the error."""
        super().__init__(code, message, place)
        self.code = code
        self.message = message
        self.place = place

    def __str__(self) -> str:
        """Formats the error as one line for operators."""
        prefix = f"{self.place}: " if self.place else ""
        return f"{prefix}{self.message} [{self.code}]"


class FindingsError(Exception):
    """An input has one or more findings, reported together.

    Attributes:
        findings: All findings, in the order of the input.
    """

    def __init__(self, findings: list[Finding]) -> None:
        """Creates the error."""
        super().__init__(findings)
        self.findings = findings

    def __str__(self) -> str:
        """Formats all findings, one a line."""
        return "\n".join(str(finding) for finding in self.findings)


def first_error(group: BaseExceptionGroup) -> BaseException:
    """Returns the first error of an exception group and its subgroups."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def describe_place(error: BaseException) -> str:
    """Returns where an error was raised, as ``FILE:LINE FUNCTION``.

    Of an exception group it is the place of its first error; empty if the error
    was not raised.
    """
    if isinstance(error, BaseExceptionGroup):
        error = first_error(error)
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{last.filename}:{last.lineno} {last.name}"
