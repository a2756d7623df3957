"""Prometheus metrics of the daemon."""

import functools

import prometheus_client

from rattangauge.calls import exchange
from rattangauge.config import routes
from rattangauge.generated import messages

OTHER_TENANT = "other"
# Outcome of a call that an upstream answered.
ANSWERED = "answered"

# Tenants that a daemon counts by name; all further ones count as OTHER_TENANT,
# as the number of time series must stay bounded.
MAX_TENANTS = 100

_counted_tenants: set[str] = set()

_SECONDS_BUCKETS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
    10.0, 30.0, 120.0,
)  # fmt: skip

CALL_SECONDS = prometheus_client.Histogram(
    "rattangauge_call_seconds",
    "Time from a caller's request to the end of its answer.",
    ("service", "tenant", "call_class", "outcome"),
    buckets=_SECONDS_BUCKETS,
)
QUEUE_SECONDS = prometheus_client.Histogram(
    "rattangauge_queue_seconds",
    "Time that a call waited for a slot of the upstream.",
    ("tenant", "call_class"),
    buckets=_SECONDS_BUCKETS,
)
SERVICE_SECONDS = prometheus_client.Histogram(
    "rattangauge_service_seconds",
    "Time from the start of a call on the upstream to its answer.",
    ("tenant", "call_class"),
    buckets=_SECONDS_BUCKETS,
)
LOAD = prometheus_client.Gauge(
    "rattangauge_upstream_calls",
    "Calls of the upstream: running, queued and the limit.",
    ("kind",),
)
QUOTA_TOKENS = prometheus_client.Counter(
    "rattangauge_quota_tokens",
    "Tokens that this daemon gave or refused as the home of tenants.",
    ("result",),
)
SPILL_SHARE = prometheus_client.Gauge(
    "rattangauge_zone_spill_share",
    "Share of a service's calls that this daemon sends to other zones.",
    ("service",),
)
LEAVING_BYTES = prometheus_client.Gauge(
    "rattangauge_leaving_answer_bytes",
    "Size of the answers that other daemons have not received completely.",
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
LOG_WRITE_FAILURES = prometheus_client.Counter(
    "rattangauge_log_write_failures", "Writes of log lines that failed."
)
LOOP_FAILURES = prometheus_client.Counter(
    "rattangauge_loop_failures",
    "Unexpected errors in the loops of the daemon.",
    ("loop",),
)
ROLLOUT_SHARE = prometheus_client.Gauge(
    "rattangauge_rollout_share",
    "Share of a service's calls that this daemon sends to a new version.",
    ("service",),
)
CONTROL_BYTES = prometheus_client.Counter(
    "rattangauge_control_bytes",
    "Bytes of control messages between daemons.",
    ("direction",),
)

_CONTROL_SENT = CONTROL_BYTES.labels("sent")
_CONTROL_RECEIVED = CONTROL_BYTES.labels("received")
_TOKENS_GRANTED = QUOTA_TOKENS.labels("granted")
_TOKENS_REFUSED = QUOTA_TOKENS.labels("refused")
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
    """Counts the bytes of a sent control message, without calls."""
    if not isinstance(message, _CALL_MESSAGES):
        _CONTROL_SENT.inc(size)


def observe_received(message: messages.Message, size: int) -> None:
    """Counts the bytes of a received control message, without calls."""
    if not isinstance(message, _CALL_MESSAGES):
        _CONTROL_RECEIVED.inc(size)


def observe_call(
    request: exchange.Request | None,
    target: routes.Target | None,
    outcome: str,
    seconds: float,
) -> None:
    """Records the latency and the outcome of a caller's call.

    Tenants that the policy does not name count as ``OTHER_TENANT``, so that
    callers cannot create any number of time series.

    Args:
        request: The request; None if it could not be read.
        target: The matched target; None if no route matched.
        outcome: Outcome label.
        seconds: Time from the request to the end of its answer.
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
    if tenant in _counted_tenants:
        return tenant
    if len(_counted_tenants) >= MAX_TENANTS:
        return OTHER_TENANT
    _counted_tenants.add(tenant)
    return tenant


@functools.cache
def _call_histogram(
    service: str, tenant: str, call_class: messages.CallClass, outcome: str
) -> prometheus_client.Histogram:
    """Returns the histogram of a tenant's calls; ``labels`` costs far more."""
    labels = (service, tenant, call_class.name.lower(), outcome)
    return CALL_SECONDS.labels(*labels)


@functools.cache
def _upstream_histogram(
    metric: prometheus_client.Histogram,
    tenant: str,
    call_class: messages.CallClass,
) -> prometheus_client.Histogram:
    """Returns a histogram of a tenant's calls at the upstream."""
    return metric.labels(tenant, call_class.name.lower())


def observe_outcome(
    opened: messages.CallOpen, outcome: str, seconds: float
) -> None:
    """Records the latency and the outcome of a caller's request.

    Args:
        opened: Head of the call; without service if none was made.
        outcome: ``ANSWERED`` or the error code.
        seconds: Time from the request to its response.
    """
    tenant = _tenant_label(opened.tenant)
    _call_histogram(opened.service, tenant, opened.call_class, outcome).observe(
        seconds
    )


def observe_queue(opened: messages.CallOpen, seconds: float) -> None:
    """Records the time in seconds that a call waited for a slot."""
    tenant = _tenant_label(opened.tenant)
    _upstream_histogram(QUEUE_SECONDS, tenant, opened.call_class).observe(
        seconds
    )


def observe_service(opened: messages.CallOpen, seconds: float) -> None:
    """Records the time in seconds in which the upstream answered."""
    tenant = _tenant_label(opened.tenant)
    _upstream_histogram(SERVICE_SECONDS, tenant, opened.call_class).observe(
        seconds
    )


def observe_tokens(granted: int, refused: int) -> None:
    """Counts tokens of tenants of which this daemon is the home."""
    _TOKENS_GRANTED.inc(granted)
    _TOKENS_REFUSED.inc(refused)


def observe_spill(service: str, share: float) -> None:
    """Sets the share of a service's calls that leaves the zone."""
    SPILL_SHARE.labels(service).set(share)


def observe_load(load: messages.Load) -> None:
    """Sets the gauges of the upstream's load."""
    LOAD.labels("running").set(load.running)
    LOAD.labels("queued").set(load.queued)
    LOAD.labels("limit").set(load.limit)
