"""Tests of writes to outputs that other processes share."""

import os
import socket

import pytest

from rattangauge import outputs


def fill(write):
    """Writes until the output takes nothing more; returns the bytes."""
    written = 0
    with pytest.raises(BlockingIOError):
        while True:
            written += write(b"x" * 10_000)
    return written


def test_a_full_pipe_raises_and_stays_blocking_for_others():
    """Guards against O_NONBLOCK on an open file that others share."""
    reader, writer = os.pipe()
    write = outputs.nonblocking_writer(writer)
    size = fill(write)
    assert os.get_blocking(writer)
    assert len(os.read(reader, size)) > 0
    assert write(b"more") == 4
    os.close(reader)
    with pytest.raises(BrokenPipeError):
        write(b"nobody")
    os.close(writer)


def test_a_pipe_that_cannot_be_opened_again_does_not_block(monkeypatch):
    """Guards against a blocking write where /proc is not available."""

    def refuse(_descriptor):
        raise FileNotFoundError

    monkeypatch.setattr(outputs, "_open_again", refuse)
    reader, writer = os.pipe()
    write = outputs.nonblocking_writer(writer)
    assert fill(write) > 0
    assert os.get_blocking(writer)
    os.close(reader)
    with pytest.raises(BrokenPipeError):
        write(b"nobody")
    os.close(writer)


def test_a_full_socket_raises_and_stays_blocking_for_others():
    """Guards against a daemon that blocks on a socket as its output."""
    one, other = socket.socketpair()
    with one, other:
        write = outputs.nonblocking_writer(one.fileno())
        assert fill(write) > 0
        assert one.getblocking()
        other.close()
        with pytest.raises(OSError, match=r"Broken pipe|reset"):
            write(b"nobody")


def test_a_file_is_written_at_the_shared_end(tmp_path):
    """Guards against lines that overwrite those of other processes."""
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    write = outputs.nonblocking_writer(descriptor)
    write(b"one ")
    os.write(descriptor, b"two ")
    write(b"three")
    os.close(descriptor)
    assert path.read_bytes() == b"one two three"
