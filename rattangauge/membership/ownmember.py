"""The record by which a daemon makes itself known to the others."""

from rattangauge import settings as settings_module
from rattangauge import util
from rattangauge.generated import messages


def make(settings: settings_module.Settings) -> messages.Member:
    """Returns the record of the process that begins now.

    Its incarnation is the wall-clock time, so that records of later processes
    of the same instance replace those of earlier ones.
    """
    return messages.Member(
        instance=settings.instance.name,
        zone=settings.instance.zone,
        region=settings.instance.region,
        mesh=settings.listen.advertise or settings.listen.mesh,
        incarnation=util.now_ms(),
    )
