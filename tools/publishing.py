"""Ways to publish object files in a local fleet."""

import os
import pathlib
import sys

import anyio

from rattangauge import errors
from rattangauge.config import check
from rattangauge.config import objects as objects_module
from tools import fleet as fleet_module

APPLY_TIMEOUT_S = 30.0


def read(paths: list[pathlib.Path]) -> objects_module.ObjectSet:
    """Reads object files into one set, without checking references.

    Raises:
        errors.FindingsError: A file has findings.
    """
    loaded = objects_module.load(paths)
    objects, collected = objects_module.build_set(loaded.objects)
    findings = loaded.findings + collected.findings
    if findings:
        raise errors.FindingsError(findings)
    return objects


async def put(
    fleet: fleet_module.Fleet, paths: list[pathlib.Path], version: int
) -> None:
    """Writes the objects of files to the store as a version.

    Raises:
        errors.FindingsError: The objects have findings.
    """
    objects = read(paths)
    findings = check.check_objects(objects)
    if findings:
        raise errors.FindingsError(findings)
    await fleet_module.put_edition(fleet.platform_url, version, objects)


async def apply(
    fleet: fleet_module.Fleet, paths: list[pathlib.Path], version: int
) -> None:
    """Publishes files by the command-line tool and waits for all zones.

    Raises:
        TimeoutError: The tool did not end in time.
        subprocess.CalledProcessError: The tool failed.
    """
    command = [sys.executable, "-m", "rattangauge.cmdline", "apply"]
    command += [*map(str, paths), "--wait"]
    environment = {**os.environ, "RATTANGAUGE_STORE": fleet.platform_url}
    with anyio.fail_after(APPLY_TIMEOUT_S):
        await anyio.run_process(
            command, env=environment, cwd=fleet_module.ROOT, stderr=None
        )
