"""Compares two sets of objects."""

from typing import Any
from typing import NamedTuple

from rattangauge.config import objects as objects_module
from rattangauge.generated import objects as generated

# Shown in place of values that are secret.
HIDDEN = "(secret)"


class Change(NamedTuple):
    """One difference between two sets.

    Attributes:
        object: Kind and name of the object.
        field: Field with the difference; empty if the object is new or gone.
        before: Value before; None if the object is new.
        after: Value after; None if the object is gone.
    """

    object: str
    field: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Formats the change as one line for operators."""
        if not self.field:
            return f"{'+' if self.before is None else '-'} {self.object}"
        return f"~ {self.object}: {self.field}: {self.before} -> {self.after}"


def _shown(kind: str, field: str, value: Any) -> Any:
    """Returns a value as it may be shown."""
    return HIDDEN if generated.SPECS[kind][field].secret else value


def difference(
    before: objects_module.ObjectSet, after: objects_module.ObjectSet
) -> list[Change]:
    """Returns the changes from one set to another, sorted by kind and name.

    Secret values are hidden; that they differ is shown.
    """
    changes = []
    for kind in sorted(after.keys() | before.keys()):
        old, new = before.get(kind, {}), after.get(kind, {})
        for name in sorted(old.keys() | new.keys()):
            label = f"{kind} {name}"
            if name not in old:
                changes.append(Change(label, "", None, "new"))
            elif name not in new:
                changes.append(Change(label, "", "old", None))
            else:
                changes += _field_changes(kind, label, old[name], new[name])
    return changes


def _field_changes(
    kind: str, label: str, old: generated.MeshObject, new: generated.MeshObject
) -> list[Change]:
    return [
        Change(
            label, field, _shown(kind, field, value), _shown(kind, field, other)
        )
        for field, value, other in zip(old._fields, old, new, strict=True)
        if value != other
    ]
