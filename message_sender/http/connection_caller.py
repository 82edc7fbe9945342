"""The engine's caller that a client connection is: the client is informed of the acceptance of its message.

The platform is informed of the completion.
"""

import asyncio
import select
import socket

from message_sender.core.ports import Completion, Rejected, RejectReason

ACCEPTED, TOO_MANY_REQUESTS, UNAVAILABLE = 202, 429, 503  # HTTP statuses


class ConnectionCaller:
    """Implements `core.ports.Caller` for a connection that answers requests.

    Attributes:
        transport: The transport of the connection, once it is connected.
        sock: The socket of the connection.
    """

    transport: asyncio.Transport
    sock: socket.socket

    def answer(self, status: int, retry_after_us: int | None = None, text: str = "") -> None:
        """Answers the current request. Never raises.

        Args:
            status: The HTTP status.
            retry_after_us: After how many microseconds the client may retry; None if not stated.
            text: The text of an error; empty if there is none.
        """
        raise NotImplementedError

    def accepted(self) -> bool:
        """Answers 202 and returns False, since the connection does not wait for the completion."""
        self.answer(ACCEPTED)
        return False

    def rejected(self, rejection: Rejected) -> None:
        """Answers with the reason and, if stated, the time to wait before a retry."""
        text = "this id is another message's" if rejection.reason is RejectReason.ID_CONFLICT else ""
        is_refused = rejection.reason is RejectReason.REFUSED
        self.answer(TOO_MANY_REQUESTS if is_refused else UNAVAILABLE, rejection.retry_after_us, text)

    def withdrawn(self) -> None:
        """Closes the connection, since the client has gone before its message was accepted."""
        self.transport.close()

    def completed(self, completion: Completion) -> None:
        """Does nothing: the connection does not wait for completions, as `accepted` returns."""

    def is_gone(self) -> bool:
        """Whether the client has closed the connection, even if the loop has not processed that yet.

        Never raises; a connection whose socket cannot be polled is treated as open.
        """
        try:
            return self.transport.is_closing() or self.has_unread(select.POLLRDHUP)
        except (OSError, ValueError):
            return False

    def has_unread(self, events: int = select.POLLIN) -> bool:
        """Whether the socket reports one of these events of poll(2).

        Raises:
            OSError, ValueError: The socket cannot be polled.
        """
        poll = select.poll()
        poll.register(self.sock.fileno(), events)
        return bool(poll.poll(0))
