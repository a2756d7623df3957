"""Whole messages from a stream of bytes, with the parser httptools."""

from collections import deque

import httptools

from rattangauge.http import messages


class MessageError(Exception):
    """Bytes that are not HTTP, or that exceed a limit.

    Attributes:
        status: Status code that tells the sender.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Creates the fault."""
        super().__init__(reason)
        self.status = status


class Bounds:
    """Limits of one message.

    Attributes:
        header_bytes: Size of the headers, the first line included.
        body_bytes: Size of the body.
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        """Creates limits."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes


class _Reader:
    """Collects the parts of messages as the parser finds them."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._fault: MessageError | None = None
        self._reset()

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._pieces: list[bytes] = []
        self._first = b""
        self._header_size = 0
        self._body_size = 0
        self._has_begun = False
        self._has_headers = False

    @property
    def has_begun(self) -> bool:
        """Whether a message has begun and is not whole."""
        return self._has_begun

    @property
    def has_headers(self) -> bool:
        """Whether the headers of that message are whole."""
        return self._has_headers

    @property
    def body_size(self) -> int:
        """Bytes of the body of that message that have come."""
        return self._body_size

    def _stop(self, status: int, reason: str) -> None:
        self._fault = MessageError(status, reason)
        raise self._fault

    def _count(self, size: int) -> None:
        self._header_size += size
        if self._header_size > self._bounds.header_bytes:
            self._stop(431, f"its headers exceed {self._header_size} bytes")

    def on_message_begin(self) -> None:
        """Starts a message."""
        self._reset()
        self._has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._count(len(name) + len(value) + 4)
        self._headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self._body_size += len(data)
        if self._body_size > self._bounds.body_bytes:
            self._stop(413, f"its body exceeds {self._bounds.body_bytes} bytes")
        self._pieces.append(data)

    def _check_lengths(self) -> None:
        names = [name for name, _value in self._headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            self._stop(400, "it has two lengths")
        length = messages.find(self._headers, b"content-length")
        if length and int(length) > self._bounds.body_bytes:
            self._stop(413, f"its body has {int(length)} bytes")

    def _feed(self, parser: object, data: bytes) -> None:
        try:
            parser.feed_data(data)  # type: ignore[attr-defined]
        except httptools.HttpParserUpgrade as error:
            raise MessageError(400, "it asks for another protocol") from error
        except httptools.HttpParserError as error:
            raise self._fault or MessageError(400, str(error)) from error


class RequestReader(_Reader):
    """Reads requests.

    Attributes:
        requests: Whole requests that were not taken yet.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Creates a reader of one connection.

        Args:
            bounds: Limits of a request.
        """
        super().__init__(bounds)
        self._is_first = True
        self._parser = httptools.HttpRequestParser(self)
        self._headers_at = 0.0
        self._unended = 0
        self._now = 0.0
        self.requests: deque[messages.Request] = deque()

    @property
    def keeps_alive(self) -> bool:
        """Whether the caller keeps the connection after the last request."""
        return self._parser.should_keep_alive()

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits before it sends the body."""
        if not self._has_headers or self._body_size:
            return False
        expected = messages.find(self._headers, b"expect")
        return expected.lower() == b"100-continue"

    def feed(self, data: bytes, now: float) -> None:
        """Takes bytes that came.

        Args:
            data: The bytes.
            now: Time in seconds.

        Raises:
            MessageError: They are not HTTP, or exceed a limit.
        """
        self._now = now
        self._feed(self._parser, data)
        if self._has_headers or not self._has_begun:
            self._unended = 0
            return
        self._unended += len(data)
        if self._unended > self._bounds.header_bytes:
            raise MessageError(431, "its headers do not end")

    def on_url(self, data: bytes) -> None:
        """Takes a part of the target."""
        self._count(len(data))
        self._first += data

    def on_headers_complete(self) -> None:
        """Notes that the body follows."""
        self._has_headers = True
        self._headers_at = self._now
        self._check_lengths()

    def on_message_complete(self) -> None:
        """Adds a whole request."""
        self.requests.append(
            messages.Request(
                self._parser.get_method().decode("ascii"),
                self._first.decode("latin-1"),
                tuple(self._headers),
                b"".join(self._pieces),
                self._headers_at,
                self._parser.should_keep_alive(),
                self._is_first,
            )
        )
        self._is_first = False
        self._reset()


class ResponseReader(_Reader):
    """Reads responses.

    Attributes:
        responses: Whole responses that were not taken yet.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Creates a reader of one connection."""
        super().__init__(bounds)
        self._parser = httptools.HttpResponseParser(self)
        self.responses: deque[messages.Response] = deque()

    def feed(self, data: bytes) -> None:
        """Takes bytes that came.

        Raises:
            MessageError: They are not HTTP, or exceed a limit.
        """
        self._feed(self._parser, data)

    def end(self) -> None:
        """Takes the clean end of the connection.

        A response without a length is whole then.
        """
        names = [name for name, _value in self._headers]
        has_length = b"content-length" in names or b"transfer-encoding" in names
        if self._has_headers and not has_length:
            self._add(False)

    def on_headers_complete(self) -> None:
        """Notes that the body follows."""
        self._has_headers = True
        self._check_lengths()

    def on_message_complete(self) -> None:
        """Adds a whole response."""
        self._add(self._parser.should_keep_alive())

    def _add(self, keeps_alive: bool) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # not one that only says that another one follows
            response = messages.Response(
                status,
                tuple(self._headers),
                b"".join(self._pieces),
                keeps_alive,
            )
            self.responses.append(response)
        self._reset()
