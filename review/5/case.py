"""A configuration raises a limit that open connections never learn (DENIED)."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common import fleet as fleet_module
from common import wire

INQUIRY = "auskunft"
ARCHIVE = "akten"
CALLERS = 40
# The rule allows this many refusals, and one more for so many requests.
ALLOWED = 5
REQUESTS_FOR_ONE = 500
# Limits of the two versions, and a body of the site between them, in bytes.
OLD_LIMIT = 262_144
NEW_LIMIT = 67_108_864
BODY = b"m" * 360_000
TIMEOUT_MS = 3000
# Longest pause of the callers, below four fifths of the idle timeout.
PAUSE_S = 4.0
REFUSED = (400, 401, 403, 404, 413, 431)


class Caller:
    """A caller that keeps its connection open for many requests."""

    def __init__(
        self, fleet: fleet_module.Fleet, machine: fleet_module.Machine
    ) -> None:
        """Creates a caller without a connection."""
        self._fleet = fleet
        self._machine = machine

    async def open(self) -> None:
        """Opens the connection and sends a first request on it."""
        self._reader, self._writer = await asyncio.open_connection(
            self._machine.host, self._machine.ports["outbound"]
        )
        await self.request("GET", "/holding/2")

    async def request(self, method: str, path: str, body: bytes = b"") -> int:
        """Sends a request on the connection.

        Returns:
            The status of its answer; 0 if there is none.
        """
        request_id = self._fleet.new_id()
        headers = {
            "Host": fleet_module.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(TIMEOUT_MS),
        }
        start = f"{method} {path} HTTP/1.1"
        status = 0
        try:
            self._writer.write(wire.encode(start, headers, body))
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                response = await wire.read_message(self._reader)
            status = response.status if response is not None else 0
        except (TimeoutError, ConnectionError):
            status = 0
        self._fleet.log(f"{method} {path} {request_id}: {status}")
        return status

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


async def case(fleet: fleet_module.Fleet) -> bool:
    """Returns whether the daemon refused no more than the rule allows."""
    upload = {"timeout-s": TIMEOUT_MS / 1000}
    routes = [
        fleet_module.route("holding", INQUIRY),
        fleet_module.route("minutes", ARCHIVE, kind="upload", **upload),
    ]
    versions = [
        fleet_module.configuration(number, routes, [INQUIRY, ARCHIVE])
        for number in (1, 2)
    ]
    versions[1]["limits"]["max-body-bytes"] = NEW_LIMIT
    first_limit = OLD_LIMIT if fleet_module.IS_TROUBLED else NEW_LIMIT
    versions[0]["limits"]["max-body-bytes"] = first_limit
    fleet.store.put("config", "main", versions[0])
    entry = fleet.add_machine("side-a-1", INQUIRY)
    fleet.add_machine("side-a-2", ARCHIVE)
    await fleet.start_machines("/holding/1")
    callers = [Caller(fleet, entry) for _ in range(CALLERS)]
    for caller in callers:
        await caller.open()
    if fleet_module.IS_TROUBLED:
        fleet.store.put("config", "main", versions[1])
        fleet.log(f"r2 is acked: max-body-bytes {OLD_LIMIT} -> {NEW_LIMIT}")
    await asyncio.sleep(PAUSE_S)
    refused = 0
    for caller in callers:
        refused += await caller.request("POST", "/minutes/1", BODY) in REFUSED
        caller.close()
    allowed = ALLOWED + 2 * CALLERS // REQUESTS_FOR_ONE
    fleet.log(f"{refused} of {CALLERS} uploads are refused; {allowed} may be")
    return refused <= allowed


if __name__ == "__main__":
    fleet_module.main(case, __file__)
