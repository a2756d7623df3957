"""Parsers that turn received bytes into complete HTTP/1.1 messages.

They use httptools and enforce limits on the size of headers and bodies.
"""

from collections import deque

import httptools

from rattangauge.http import messages

# Bytes of a message beside its headers and body, such as the lengths of chunks,
# that are allowed for each byte of the body beyond the number that always is. A
# chunk costs the receiver time whatever its size, and needs five such bytes.
FRAMING_PER_BODY_BYTE = 0.125
# Memory of a header beside its characters.
HEADER_OVERHEAD_BYTES = 150
# Memory of a complete message beside its headers and body.
MESSAGE_OVERHEAD_BYTES = 500
# Status codes that a response may have; those below 200 are interim.
STATUS_CODES = range(100, 600)
FINAL_STATUS_CODES = range(200, 600)
SWITCHING_PROTOCOLS = 101
# Complete responses that wait. An upstream sends one for each request, and a
# faulty one any number.
MAX_WAITING_RESPONSES = 16
# Complete requests that wait, after which no more are parsed. Callers send
# requests ahead.
MAX_WAITING_REQUESTS = 16
# Bytes of requests that are parsed at a time. Each request in them takes time,
# however small it is.
PIECE_BYTES = 4096


class MessageError(Exception):
    """Received bytes are not valid HTTP or exceed a limit.

    Attributes:
        status: HTTP status code of the response to the sender.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Creates an error with a status code and a reason."""
        super().__init__(reason)
        self.status = status


class MessageLimits:
    """Limits of one message.

    Attributes:
        header_bytes: Maximum size of the headers and the request target.
        body_bytes: Maximum size of the body.
        framing_bytes: Size of everything else, such as the lengths of chunks,
            that is always allowed.
    """

    def __init__(
        self, header_bytes: int, body_bytes: int, framing_bytes: int
    ) -> None:
        """Creates limits, in bytes."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.framing_bytes = framing_bytes


class _MessageReader:
    """Collects the parts of a message in the callbacks of httptools."""

    def __init__(self, limits: MessageLimits) -> None:
        self._limits = limits
        self._error: MessageError | None = None
        self._reset()

    def _reset(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        # One buffer, as a piece of its own for each chunk of a few bytes would
        # take many times their size.
        self._body = bytearray()
        self._target = b""
        self._header_size = 0
        self._has_begun = False
        self._has_headers = False

    @property
    def has_begun(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self._has_begun

    @property
    def has_headers(self) -> bool:
        """Whether the headers of that message are complete."""
        return self._has_headers

    @property
    def body_size(self) -> int:
        """Number of bytes of that message's body that have been received."""
        return len(self._body)

    @property
    def held_bytes(self) -> int:
        """Memory of the message that has been received in part."""
        overhead = HEADER_OVERHEAD_BYTES * len(self._headers)
        return self._header_size + overhead + len(self._body)

    def discard(self) -> None:
        """Frees the memory of the message that has been received in part."""
        self._reset()

    def set_limits(self, limits: MessageLimits) -> None:
        """Sets the limits; they must not change within a message."""
        self._limits = limits

    def _fail(self, status: int, reason: str) -> None:
        """Raises an error and stores it for ``_feed``.

        httptools raises its own error in place of those of callbacks.

        Raises:
            MessageError: Always.
        """
        self._error = MessageError(status, reason)
        raise self._error

    def _count_header_bytes(self, size: int) -> None:
        """Adds to the size of the headers and checks the limit."""
        self._header_size += size
        if self._header_size > self._limits.header_bytes:
            limit = self._limits.header_bytes
            self._fail(431, f"its headers exceed {limit} bytes")

    def on_message_begin(self) -> None:
        """Starts a new message."""
        self._reset()
        self._has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._count_header_bytes(len(name) + len(value) + 4)
        self._headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        """Adds a piece of the body."""
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            self._fail(413, f"its body exceeds {self._limits.body_bytes} bytes")

    def _check_framing(self, received: int) -> None:
        """Checks the size of an unfinished message without its body.

        httptools reports a header or trailer only when it is complete, and
        neither the length of a chunk nor an interim response, so those that
        never end must be limited here.

        Args:
            received: Bytes of the message that have been received.

        Raises:
            MessageError: They exceed the limit.
        """
        limit = self._limits.header_bytes
        if self._has_headers:
            # Trailers may be as large as the headers.
            limit *= 2
            limit += self._limits.framing_bytes
            limit += int(FRAMING_PER_BODY_BYTE * self.body_size)
        if received - self.body_size > limit:
            raise MessageError(431, "its headers or chunks do not end")

    def _check_lengths(self) -> None:
        """Rejects ambiguous lengths (request smuggling) and large bodies."""
        names = [name for name, _value in self._headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            self._fail(400, "it has two lengths")
        length = messages.find(self._headers, b"content-length")
        if length and int(length) > self._limits.body_bytes:
            self._fail(413, f"its body has {int(length)} bytes")

    def _feed(self, parser: object, data: bytes) -> None:
        """Passes bytes to httptools.

        Raises:
            MessageError: The bytes are not valid HTTP or exceed a limit.
        """
        try:
            parser.feed_data(data)  # type: ignore[attr-defined]
        except httptools.HttpParserUpgrade as error:
            raise MessageError(400, "it asks for another protocol") from error
        except httptools.HttpParserError as error:
            raise self._error or MessageError(400, str(error)) from error


class RequestReader(_MessageReader):
    """Parses the requests of one connection.

    Attributes:
        requests: Complete requests, to be removed by the caller of ``feed``.
    """

    def __init__(self, limits: MessageLimits) -> None:
        """Creates a parser for a new connection.

        Args:
            limits: Limits of each request.
        """
        super().__init__(limits)
        self._is_first = True
        self._parser = httptools.HttpRequestParser(self)
        self._headers_at = 0.0
        self._unfinished_bytes = 0
        self._unparsed = b""
        self._now = 0.0
        self.requests: deque[messages.Request] = deque()

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after the last request."""
        return self._parser.should_keep_alive()

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes wait that have not been parsed."""
        return bool(self._unparsed)

    @property
    def waiting_bytes(self) -> int:
        """Memory of the requests that wait, whether or not they are parsed."""
        return len(self._unparsed) + sum(
            MESSAGE_OVERHEAD_BYTES + len(request.body)
            for request in self.requests
        )

    @property
    def expects_continue(self) -> bool:
        """Whether the sender waits for 100 Continue before the body."""
        if not self._has_headers or self._body:
            return False
        expected = messages.find(self._headers, b"expect")
        return expected.lower() == b"100-continue"

    def discard(self) -> None:
        """Frees the memory of the bytes that are no complete request."""
        super().discard()
        self._unparsed = b""

    def feed(self, data: bytes, now: float) -> None:
        """Parses received bytes, as ``advance`` does.

        Args:
            data: The bytes.
            now: Time on the clock of ``time.monotonic``, in seconds.

        Raises:
            MessageError: They are not valid HTTP or exceed a limit.
        """
        self._unparsed += data
        self.advance(now)

    def advance(self, now: float) -> None:
        """Parses the bytes that wait until ``MAX_WAITING_REQUESTS`` do.

        Args:
            now: Time on the clock of ``time.monotonic``, in seconds.

        Raises:
            MessageError: They are not valid HTTP or exceed a limit.
        """
        while self._unparsed and len(self.requests) < MAX_WAITING_REQUESTS:
            piece = self._unparsed[:PIECE_BYTES]
            self._unparsed = self._unparsed[PIECE_BYTES:]
            self._parse(piece, now)

    def _parse(self, data: bytes, now: float) -> None:
        self._now = now
        complete_count = len(self.requests)
        self._feed(self._parser, data)
        if not self._has_begun or len(self.requests) > complete_count:
            # The bytes of a message that begins in these data count from the
            # next data on.
            self._unfinished_bytes = 0
            return
        self._unfinished_bytes += len(data)
        self._check_framing(self._unfinished_bytes)

    def on_url(self, data: bytes) -> None:
        """Adds a piece of the request target."""
        self._count_header_bytes(len(data))
        self._target += data

    def on_headers_complete(self) -> None:
        """Checks the headers once they are complete."""
        self._has_headers = True
        self._headers_at = self._now
        self._check_lengths()

    def on_message_complete(self) -> None:
        """Adds a complete request to ``requests``."""
        self.requests.append(
            messages.Request(
                self._parser.get_method().decode("ascii"),
                self._target.decode("latin-1"),
                tuple(self._headers),
                bytes(self._body),
                self._headers_at,
                self._parser.should_keep_alive(),
                self._is_first,
            )
        )
        self._is_first = False
        self._reset()


class ResponseReader(_MessageReader):
    """Parses the responses of one connection.

    Attributes:
        responses: Complete responses, to be removed by the caller of ``feed``.
    """

    def __init__(self, limits: MessageLimits, has_bodies: bool = True) -> None:
        """Creates a parser for a new connection.

        Args:
            limits: Limits of each response.
            has_bodies: Whether responses may have bodies; those to HEAD
                requests have none, whatever length they announce (RFC 9112,
                section 6.3). Without bodies, one final response is parsed and
                what follows it is discarded.
        """
        super().__init__(limits)
        self._has_bodies = has_bodies
        self._is_complete = False
        self._parser = httptools.HttpResponseParser(self)
        self._received = 0
        self.responses: deque[messages.Response] = deque()

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            MessageError: They are not valid HTTP or exceed a limit.
        """
        self._received += len(data)
        self._feed(self._parser, data)
        if self.responses:
            self._received = 0
        else:
            self._check_framing(self._received)

    def end(self) -> None:
        """Handles the regular end of the connection; a reset is not one.

        It completes a response without a length.

        Raises:
            MessageError: Too many responses wait.
        """
        names = [name for name, _value in self._headers]
        has_length = b"content-length" in names or b"transfer-encoding" in names
        if self._has_headers and not has_length:
            self._add_response(False)

    def on_headers_complete(self) -> None:
        """Checks the first line and the headers once they are complete."""
        self._has_headers = True
        self._check_first_line()
        if self._has_bodies:
            self._check_lengths()
        elif not self._is_complete:
            self._add_response(False)
            self._is_complete = bool(self.responses)

    def _check_first_line(self) -> None:
        """Rejects a response whose status or version HTTP/1 does not have.

        No request asks for another protocol, so none may be switched to.
        """
        version = self._parser.get_http_version()
        if not version.startswith("1."):
            self._fail(400, f"its version is HTTP/{version}")
        status = self._parser.get_status_code()
        if status not in STATUS_CODES or status == SWITCHING_PROTOCOLS:
            self._fail(400, f"its status is {status:03}")

    def on_body(self, data: bytes) -> None:
        """Adds a piece of the body."""
        if not self._is_complete:
            super().on_body(data)

    def on_message_complete(self) -> None:
        """Adds a complete response to ``responses``."""
        if not self._is_complete:
            self._add_response(self._parser.should_keep_alive())

    def _add_response(self, keeps_alive: bool) -> None:
        status = self._parser.get_status_code()
        if len(self.responses) >= MAX_WAITING_RESPONSES:
            self._fail(400, f"more than {MAX_WAITING_RESPONSES} came at once")
        if status in FINAL_STATUS_CODES:
            response = messages.Response(
                status,
                tuple(self._headers),
                bytes(self._body),
                keeps_alive,
            )
            self.responses.append(response)
        self._reset()
