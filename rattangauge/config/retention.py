"""Selects the parts in the store that may be deleted."""

from collections.abc import Iterable

from rattangauge.config import head as head_module

# Number of newest versions whose parts are kept, so that an operator can
# publish the content of an older version again.
MIN_KEPT_VERSIONS = 20


def _find_needed_entries(
    head: head_module.Head, lowest: int
) -> list[head_module.Entry] | None:
    """Returns the log entries whose parts must be kept; None if not known."""
    running = [entry for entry in head.log if entry.version >= lowest]
    if head_module.find_version(head, lowest) is None:
        # A zone may have a version in force that the log no longer has.
        return None
    needed = [*running, *head.log[-MIN_KEPT_VERSIONS:]]
    return needed if all(entry.parts for entry in needed) else None


def deletable_parts(
    head: head_module.Head, lowest: int | None, stored: Iterable[str]
) -> tuple[str, ...]:
    """Returns the digests of parts that may be deleted.

    A part is kept if it belongs to a version that a zone may have in force or
    to one of the newest versions. If these versions are not known, all parts
    are kept.

    Args:
        head: The current head.
        lowest: Lowest version in force in any zone; None if not known.
        stored: Digests of all parts in the store.
    """
    if lowest is None:
        return ()
    needed = _find_needed_entries(head, lowest)
    if needed is None:
        return ()
    kept = {*head.parts}.union(*(entry.parts for entry in needed))
    return tuple(sorted({*stored} - kept))
