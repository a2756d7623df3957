"""How the HTTP clients open connections."""

from typing import Any

import httpcore


class Backend(httpcore.AnyIOBackend):
    """Reports connections that are reset while they are set up.

    With uvloop, httpcore raises AttributeError for them when it asks the
    closed transport for its addresses.
    """

    async def connect_tcp(
        self, *args: Any, **kwargs: Any
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection.

        Raises:
            httpcore.ConnectError: It could not be opened, or is reset already.
        """
        stream = await super().connect_tcp(*args, **kwargs)
        try:
            stream.get_extra_info("ssl_object")
        except AttributeError as error:
            text = "the connection was reset while it was set up"
            raise httpcore.ConnectError(text) from error
        return stream
