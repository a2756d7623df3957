"""Checks TOML tables against the generated field specifications."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from rattangauge import util

# Marks a field without a default, which each table must have.
REQUIRED: Any = object()


class FieldSpec(NamedTuple):
    """Type, default and permitted values of a field.

    Attributes:
        kind: Type, as written in the schema files.
        default: Value of a field that a table leaves out; ``REQUIRED`` if
            it must not.
        min: Least value, or least length of a list.
        max: Greatest value, or greatest length of a list.
        choices: Permitted values; all if empty.
        secret: Whether findings must not show the value.
    """

    kind: str
    default: Any
    min: float | None = None
    max: float | None = None
    choices: tuple[str, ...] = ()
    secret: bool = False


class Codes(NamedTuple):
    """Error codes to report for one kind of table.

    Attributes:
        unknown: The field does not exist.
        missing: A required field is left out.
        type: The value has the wrong type.
        range: The value is outside the permitted values.
        address: The value is not an address; empty if no field has one.
    """

    unknown: str
    missing: str
    type: str
    range: str
    address: str = ""


# Greatest absolute value of an integer. A JSON text may have one that no float
# can hold.
MAX_INTEGER = 2**63 - 1
# Characters of a value that a finding shows; a wrong value may have megabytes.
MAX_SHOWN = 120


def show(value: Any) -> str:
    """Formats a value for a finding.

    >>> show("a")
    "'a'"
    """
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        # Python refuses to format integers of thousands of digits.
        return f"a value of type {type(value).__name__}"
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."


def _show(spec: FieldSpec, value: Any) -> str:
    """Formats the value of a field for a finding; hides a secret one."""
    return "the value" if spec.secret else show(value)


def label(name: str) -> str:
    r"""Formats a name from an input file so that a finding stays one line.

    >>> label("retries"), label("a\nb")
    ('retries', "'a\\nb'")
    """
    is_plain = name.isprintable() and 0 < len(name) <= MAX_SHOWN
    return name if is_plain else show(name)


def _has_type(kind: str, value: Any) -> bool:
    if kind.startswith("list["):
        return isinstance(value, list) and all(
            _has_type(kind[5:-1], item) for item in value
        )
    if kind == "bool":
        return isinstance(value, bool)
    if kind in ("int", "float") and isinstance(value, bool):
        return False
    if kind == "float":
        return isinstance(value, int | float)
    return isinstance(value, int if kind == "int" else str)


def _range_error(spec: FieldSpec, value: Any) -> str:
    if spec.choices:
        values = value if isinstance(value, list) else [value]
        wrong = [item for item in values if item not in spec.choices]
        if wrong:
            choices = ", ".join(spec.choices)
            return f"{_show(spec, wrong[0])} is not one of {choices}"
        return ""
    if spec.kind == "list[int]":
        item_errors = (
            _range_error(spec._replace(kind="int"), item) for item in value
        )
        return next(
            (error_text for error_text in item_errors if error_text), ""
        )
    size = len(value) if isinstance(value, list) else value
    # The comparisons are negated because NaN must fail them.
    if spec.min is not None and not size >= spec.min:
        return f"{_show(spec, value)} is below the minimum {spec.min}"
    if spec.max is not None and not size <= spec.max:
        return f"{_show(spec, value)} is above the maximum {spec.max}"
    return ""


def _address_error(spec: FieldSpec, value: Any) -> str:
    if "address" not in spec.kind or value == spec.default:
        return ""
    for text in value if isinstance(value, list) else [value]:
        try:
            util.parse_address(text)
        except ValueError as error:
            return str(error)
    return ""


class _Fault(NamedTuple):
    """Why a value is not accepted.

    Attributes:
        message: What is wrong.
        code: Error code.
    """

    message: str
    code: str


def _type_fault(spec: FieldSpec, value: Any, codes: Codes) -> _Fault | None:
    """Checks the type of a value."""
    if _has_type(spec.kind, value):
        if _is_in_range(value):
            return None
        text = f"{_show(spec, value)} has an integer of more than 64 bits"
        return _Fault(text, codes.type)
    return _Fault(
        f"{_show(spec, value)} is not of type {spec.kind}", codes.type
    )


def _is_in_range(value: Any) -> bool:
    """Tells whether the integers of a value can be converted to floats."""
    parts = value if isinstance(value, list) else [value]
    return not any(
        isinstance(part, int) and abs(part) > MAX_INTEGER for part in parts
    )


def _value_fault(spec: FieldSpec, value: Any, codes: Codes) -> _Fault | None:
    """Checks the type and the range of a value."""
    if fault := _type_fault(spec, value, codes):
        return fault
    if error_text := _address_error(spec, value):
        return _Fault(error_text, codes.address)
    if error_text := _range_error(spec, value):
        return _Fault(error_text, codes.range)
    return None


def _check(
    specs: dict[str, FieldSpec],
    table: dict[str, Any],
    codes: Codes,
    report: Callable[[str, str, str], None],
    find_fault: Callable[[FieldSpec, Any, Codes], _Fault | None],
) -> dict[str, Any]:
    for name in sorted(table.keys() - specs.keys()):
        report(label(name), "the field does not exist", codes.unknown)
    values = {}
    for name, spec in specs.items():
        if name not in table:
            if spec.default is REQUIRED:
                report(name, "the field is required", codes.missing)
            else:
                values[name] = spec.default
            continue
        value = table[name]
        if fault := find_fault(spec, value, codes):
            report(name, fault.message, fault.code)
        else:
            values[name] = tuple(value) if isinstance(value, list) else value
    return values


def check(
    specs: dict[str, FieldSpec],
    table: dict[str, Any],
    codes: Codes,
    report: Callable[[str, str, str], None],
) -> dict[str, Any]:
    """Checks a table and returns the values of all its fields.

    Args:
        specs: Specification of each field.
        table: The values as parsed from TOML.
        codes: Error codes to report with.
        report: Called with field, message and code of each finding, in the
            order of the specifications after the fields that do not exist.

    Returns:
        Values with defaults filled in; fields with findings are left out.
    """
    return _check(specs, table, codes, report, _value_fault)


def check_types(
    specs: dict[str, FieldSpec],
    table: dict[str, Any],
    codes: Codes,
    report: Callable[[str, str, str], None],
) -> dict[str, Any]:
    """Checks the fields of a table and their types, but not their ranges.

    Args and result are those of ``check``.
    """
    return _check(specs, table, codes, report, _type_fault)
