"""Interface of the store for roll-outs; the adapter of a platform has it."""

from typing import NamedTuple
from typing import Protocol

from rattangauge.generated import messages


class Order(NamedTuple):
    """Order of an operator to roll out a version of a service.

    Attributes:
        service: The service.
        target: The version.
        duration_s: Time limit, in seconds.
        created: Revision of the store that identifies the order.
        revision: Revision of its last change.
        status: Phase that its status names for the target; None if none.
    """

    service: str
    target: str
    duration_s: float
    created: int
    revision: int
    status: messages.RolloutPhase | None

    @property
    def is_finished(self) -> bool:
        """Whether the status names the end of the roll-out."""
        return self.status not in (None, messages.RolloutPhase.ACTIVE)


class Decision(NamedTuple):
    """State of a roll-out, as the daemons decided it.

    The names of the attributes are the names of the stored fields.

    Attributes:
        service: The service.
        target: The version.
        created: See ``Order.created``.
        sequence: Number of the decision, from 1.
        step: Number of the step.
        phase: Phase of the roll-out.
        elapsed_s: Time since the order, in seconds.
        decider: Identity of the process that decided.
    """

    service: str
    target: str
    created: int
    sequence: int
    step: int
    phase: messages.RolloutPhase
    elapsed_s: float
    decider: str


class Stored(NamedTuple):
    """A decision as it is in the store.

    Attributes:
        decision: The decision.
        revision: Revision of its object.
    """

    decision: Decision
    revision: int


class Orders(NamedTuple):
    """Orders, or changes of them.

    Attributes:
        revision: Revision of the store at which they were read.
        orders: The orders.
        removed: Services whose orders were removed.
    """

    revision: int
    orders: list[Order]
    removed: list[str]


class Decisions(NamedTuple):
    """Decisions, or changes of them.

    Attributes:
        revision: Revision of the store at which they were read.
        stored: The decisions.
    """

    revision: int
    stored: list[Stored]


class ConflictError(Exception):
    """A write met a change that its writer did not know.

    Attributes:
        stored: The decision that is in the store; None if it cannot be read.
    """

    def __init__(self, stored: Stored | None) -> None:
        """Creates an error with the decision that is in the store."""
        super().__init__("the object has changed")
        self.stored = stored


class RolloutStore(Protocol):
    """Store of orders and decisions.

    All methods raise ``errors.CodedError`` if the store did not answer; then a
    write may have been done, or may be done later.
    """

    async def list_orders(self) -> Orders:
        """Reads all orders."""

    async def watch_orders(self, revision: int, wait_s: float) -> Orders:
        """Waits for changes of orders after a revision of the store."""

    async def list_decisions(self) -> Decisions:
        """Reads all decisions."""

    async def watch_decisions(self, revision: int, wait_s: float) -> Decisions:
        """Waits for changes of decisions after a revision of the store."""

    async def write_decision(self, decision: Decision, revision: int) -> Stored:
        """Writes a decision.

        Args:
            decision: The decision.
            revision: Revision of the decision that it replaces; 0 if none.

        Raises:
            ConflictError: There is another decision.
        """

    async def write_status(
        self, order: Order, phase: messages.RolloutPhase
    ) -> None:
        """Writes the status of an order.

        Raises:
            ConflictError: The order has changed.
        """
