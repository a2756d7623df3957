"""Tests of ``trace`` and ``why``, which read the logs of the daemons."""

import json

from rattangauge import cmdline
from rattangauge.commands import output
from tests import meshes


def lines(*events):
    return "".join(json.dumps(event) + "\n" for event in events)


def event(name, request="q1", time="2026-12-04T10:00:00.1", **fields):
    place = {"instance": "a", "zone": "zone-1", "request": request}
    return {"time": time, "level": "INFO", "event": name, **place, **fields}


REFUSED = event(
    "call_failed",
    version=4,
    route="r-track",
    status=503,
    code="call.overloaded",
    reason="the call cannot be served in time",
    attempts=2,
)


def test_lines_of_a_request_are_printed_with_the_cause(tmp_path, capsys):
    """Guards against lines in the wrong order or a missing cause."""
    path = tmp_path / "a.log"
    path.write_text(
        lines(REFUSED, event("call_begun"), event("call_begun", "other"))
    )
    assert cmdline.run(["trace", "q1", str(path)]) == output.EXIT_OK
    printed = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in printed[:2]] == [
        "call_begun",
        "call_failed",
    ]
    assert "no upstream had room in time" in printed[-1]
    assert "version 4" in printed[-1]


def test_a_request_that_no_log_names_has_an_exit_code(tmp_path, capsys):
    """Guards against an unknown request that looks like a success."""
    path = tmp_path / "a.log"
    path.write_text(lines(REFUSED))
    assert cmdline.run(["trace", "nobody", str(path)]) == output.EXIT_NOT_FOUND
    assert "no line of the logs" in capsys.readouterr().out


def test_foreign_and_truncated_lines_are_counted(tmp_path, capsys):
    """Guards against a traceback or a silent loss at invalid lines."""
    path = tmp_path / "a.log"
    truncated = lines(REFUSED)[:40]
    path.write_text("hello\n" + truncated + "\n[]\n" + lines(REFUSED))
    assert cmdline.run(["trace", "q1", str(path)]) == output.EXIT_OK
    assert "3 lines are not" in capsys.readouterr().err


def test_dropped_lines_are_reported(tmp_path, capsys):
    """Guards against a trace that hides that lines are missing."""
    path = tmp_path / "a.log"
    path.write_text(
        lines(event("lines_dropped", "", dropped="call_ended=7 message=2"))
    )
    cmdline.run(["trace", "q1", str(path)])
    assert "left out 9 lines" in capsys.readouterr().err


def test_a_file_that_cannot_be_read_is_reported(tmp_path, capsys):
    """Guards against a traceback when a log file does not exist."""
    missing = str(tmp_path / "missing.log")
    code = cmdline.run(["trace", "q1", missing])
    assert code == output.EXIT_UNAVAILABLE
    assert "missing.log" in capsys.readouterr().err


def test_json_has_the_lines_and_the_cause(tmp_path, capsys):
    """Guards against JSON output that lacks the lines or the cause."""
    path = tmp_path / "a.log"
    path.write_text(lines(REFUSED))
    cmdline.run(["trace", "q1", str(path), "--json"])
    table = json.loads(capsys.readouterr().out)
    assert table["lines"][0]["event"] == "call_failed"
    assert "no upstream had room" in table["cause"]


def test_failures_are_counted_by_cause(tmp_path, capsys):
    """Guards against failures that are counted under a wrong status."""
    path = tmp_path / "a.log"
    deadline_failure = {**REFUSED, "code": "call.deadline", "status": 504}
    path.write_text(lines(REFUSED, REFUSED, deadline_failure))
    assert cmdline.run(["why", str(path)]) == output.EXIT_OK
    first, second = capsys.readouterr().out.splitlines()
    assert first.split()[:2] == ["2", "503"]
    assert second.split()[:2] == ["1", "504"]


async def test_the_log_of_a_mesh_explains_a_lost_answer(tmp_path, capsys):
    """Guards against a failed request that the log does not explain."""

    async def lose_answer(_request):
        raise RuntimeError("the answer is lost")

    async with meshes.running() as mesh:
        mesh.publish([meshes.path("/order/", "skladby", kind="unsafe")])
        instance = await mesh.add("a")
        await mesh.wait_ready()
        await mesh.send_heartbeats()
        instance.upstream.behaviour = lose_answer
        status, _headers, _body = await mesh.call(
            "a", "/order/1", "POST", request_id="lost-1"
        )
        assert status == 502
        instance.log.flush()
        path = tmp_path / "a.log"
        path.write_bytes(instance.log_bytes)
    assert cmdline.run(["trace", "lost-1", str(path)]) == output.EXIT_OK
    printed = capsys.readouterr().out
    assert "call_placed" in printed
    assert "the upstream sent no whole answer" in printed
