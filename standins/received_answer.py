"""What a stand-in of a caller has received of an answer."""

from __future__ import annotations

import h11


class ReceivedAnswer:
    """An answer, as far as it came."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.whole = False

    def take(self, event: h11.Event) -> None:
        """Take a piece of the answer.

        :param event: the piece.
        """
        if isinstance(event, h11.Response):
            self.status = event.status_code
            self.headers = {
                name.decode(): text.decode() for name, text in event.headers
            }
        elif isinstance(event, h11.Data):
            self.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self.whole = True
