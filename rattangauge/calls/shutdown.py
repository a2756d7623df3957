"""Decides which calls a daemon still starts after the signal to stop.

It answers a planned stop under load: callers go on sending until they have
noticed that the daemon is no longer ready, and the platform ends the process
at a fixed time, whether or not calls are running.
"""

from typing import NamedTuple

# Time until callers have noticed that the daemon is no longer ready. Calls are
# started until then, since their callers cannot go elsewhere yet.
NOTICE_S = 2.5
# Highest share of the shutdown's time limit that NOTICE_S may take.
MAX_NOTICE_SHARE = 0.5
# Time before the limit at which calls are cut off: the last bytes still go to
# other daemons, log lines are written and the process ends.
EXIT_MARGIN_S = 0.7
# Time before the end at which the daemon accepts no more connections, so that
# the requests of those that it has accepted are answered.
LAST_ANSWERS_S = 0.5


class Shutdown(NamedTuple):
    """A graceful shutdown; times are monotonic times in seconds.

    Attributes:
        notice_until: Time until which all calls are started.
        listen_until: Time until which connections are accepted at the longest.
        end_at: Time at which the daemon ends.
    """

    notice_until: float
    listen_until: float
    end_at: float


def begin(now: float, limit_s: float) -> Shutdown:
    """Returns the shutdown that begins now.

    Args:
        now: Monotonic time in seconds.
        limit_s: Time after which the platform ends the process, in seconds.

    >>> begin(100.0, 6.0)
    Shutdown(notice_until=102.5, listen_until=104.8, end_at=105.3)
    >>> begin(100.0, 3.0)
    Shutdown(notice_until=101.5, listen_until=101.8, end_at=102.3)
    """
    notice_s = min(NOTICE_S, MAX_NOTICE_SHARE * limit_s)
    running_s = max(notice_s, limit_s - EXIT_MARGIN_S)
    listen_s = max(notice_s, running_s - LAST_ANSWERS_S)
    return Shutdown(now + notice_s, now + listen_s, now + running_s)


def may_start(shutdown: Shutdown, now: float, deadline: float) -> bool:
    """Tells whether a call that has just arrived may be started.

    A call that comes after the notice time is started only if its deadline
    passes before the daemon ends, so that it is never cut off.

    Args:
        shutdown: The shutdown in progress.
        now: Monotonic time in seconds.
        deadline: Monotonic time of the call's deadline, in seconds.
    """
    return now < shutdown.notice_until or deadline <= shutdown.end_at
