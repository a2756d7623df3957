"""Network backend of the HTTP clients."""

from typing import Any

import httpcore


class Backend(httpcore.AnyIOBackend):
    """Raises ``ConnectError`` for connections that are reset during set-up.

    With uvloop, httpcore raises ``AttributeError`` for such connections when
    it asks the closed transport for its addresses.
    """

    async def connect_tcp(
        self, *args: Any, **kwargs: Any
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection.

        Raises:
            httpcore.ConnectError: The connection could not be opened or was
                reset.
        """
        stream = await super().connect_tcp(*args, **kwargs)
        try:
            stream.get_extra_info("ssl_object")
        except AttributeError as error:
            text = "the connection was reset while it was set up"
            raise httpcore.ConnectError(text) from error
        return stream
