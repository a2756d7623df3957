"""Metrics of the daemon for prometheus."""

import prometheus_client

from rattangauge.calls import exchange
from rattangauge.config import routes
from rattangauge.generated import messages

OTHER_TENANT = "other"

# The daemon of an upstream does not know the policies of its callers. It
# counts so many tenants by name, and all further ones as one.
MAX_TENANTS = 64

_tenants: set[str] = set()

_CALL_BUCKETS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0, 30.0, 120.0,
)  # fmt: skip

CALL_SECONDS = prometheus_client.Histogram(
    "rattangauge_call_seconds",
    "Time from a caller's request to the end of its answer.",
    ("service", "tenant", "call_class", "outcome"),
    buckets=_CALL_BUCKETS,
)
QUEUE_SECONDS = prometheus_client.Histogram(
    "rattangauge_queue_seconds",
    "Time that a call waited for a slot of the upstream.",
    ("tenant", "call_class"),
    buckets=_CALL_BUCKETS,
)
SERVICE_SECONDS = prometheus_client.Histogram(
    "rattangauge_service_seconds",
    "Time from the start of a call on the upstream to its answer.",
    ("tenant", "call_class"),
    buckets=_CALL_BUCKETS,
)
LOAD = prometheus_client.Gauge(
    "rattangauge_upstream_calls",
    "Calls of the upstream: running, queued and the limit.",
    ("kind",),
)
VERSION = prometheus_client.Gauge(
    "rattangauge_config_version", "Configuration version in force."
)
REJECTED = prometheus_client.Counter(
    "rattangauge_config_rejected", "Editions that were refused.", ("code",)
)
MEMBERS = prometheus_client.Gauge(
    "rattangauge_members", "Members of the zone by state.", ("state",)
)
CONTROL_BYTES = prometheus_client.Counter(
    "rattangauge_control_bytes",
    "Bytes of control messages between daemons.",
    ("direction",),
)

_CONTROL_SENT = CONTROL_BYTES.labels("sent")
_CONTROL_RECEIVED = CONTROL_BYTES.labels("received")
_CALL_MESSAGES = (
    messages.CallOpen,
    messages.CallData,
    messages.CallCancel,
    messages.Credit,
    messages.AnswerOpen,
    messages.AnswerData,
    messages.AnswerFailed,
)


def observe_sent(message: messages.Message, size: int) -> None:
    """Counts the bytes of a frame that was sent, unless it is of a call."""
    if not isinstance(message, _CALL_MESSAGES):
        _CONTROL_SENT.inc(size)


def observe_received(message: messages.Message, size: int) -> None:
    """Counts the bytes of a frame that came, unless it is of a call."""
    if not isinstance(message, _CALL_MESSAGES):
        _CONTROL_RECEIVED.inc(size)


def observe_call(
    request: exchange.Request | None,
    target: routes.Target | None,
    outcome: str,
    seconds: float,
) -> None:
    """Records a call of a caller.

    Tenants that no policy names count as one, so that callers cannot create
    any number of time series.
    """
    if request is None or target is None:
        CALL_SECONDS.labels("", "", "", outcome).observe(seconds)
        return
    tenant = request.open.tenant
    if tenant not in target.policy.tenants:
        tenant = OTHER_TENANT
    call_class = request.open.call_class.name.lower()
    labels = (request.open.service, tenant, call_class, outcome)
    CALL_SECONDS.labels(*labels).observe(seconds)


def _tenant_label(tenant: str) -> str:
    if tenant in _tenants:
        return tenant
    if len(_tenants) >= MAX_TENANTS:
        return OTHER_TENANT
    _tenants.add(tenant)
    return tenant


def observe_queue(opened: messages.CallOpen, seconds: float) -> None:
    """Records the time that a call waited for a slot."""
    call_class = opened.call_class.name.lower()
    labels = (_tenant_label(opened.tenant), call_class)
    QUEUE_SECONDS.labels(*labels).observe(seconds)


def observe_service(opened: messages.CallOpen, seconds: float) -> None:
    """Records the time in which the upstream answered a call."""
    call_class = opened.call_class.name.lower()
    labels = (_tenant_label(opened.tenant), call_class)
    SERVICE_SECONDS.labels(*labels).observe(seconds)


def observe_load(load: messages.Load) -> None:
    """Records the load of the upstream."""
    LOAD.labels("running").set(load.running)
    LOAD.labels("queued").set(load.queued)
    LOAD.labels("limit").set(load.limit)
