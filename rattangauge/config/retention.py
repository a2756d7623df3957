"""Decides which parts in the store may be deleted."""

from collections.abc import Iterable

from rattangauge.config import head as head_module

# Versions whose parts are kept for rolling forward to their content.
KEPT_VERSIONS = 20


def _needed(
    head: head_module.Head, lowest: int
) -> list[head_module.Entry] | None:
    """Returns the entries whose parts are needed; None if not known."""
    running = [entry for entry in head.log if entry.version >= lowest]
    if head_module.find_version(head, lowest) is None:
        # A zone may run a version that the log no longer has.
        return None
    needed = [*running, *head.log[-KEPT_VERSIONS:]]
    return needed if all(entry.parts for entry in needed) else None


def garbage(
    head: head_module.Head, lowest: int | None, stored: Iterable[str]
) -> tuple[str, ...]:
    """Returns the digests of parts that no zone and no operator needs.

    Args:
        head: The current head.
        lowest: Lowest version that any zone runs; None if not known, which
            keeps everything.
        stored: Digests of all parts in the store.
    """
    if lowest is None:
        return ()
    needed = _needed(head, lowest)
    if needed is None:
        return ()
    kept = {*head.parts}.union(*(entry.parts for entry in needed))
    return tuple(sorted({*stored} - kept))
