"""Reports at any moment which of many connections have unread bytes.

The event loop polls its sockets once per iteration and handles the events in the following iterations. A
process that was not scheduled meanwhile acts on a view as old as that pause. This module polls the system
again, with a level-triggered epoll(7) descriptor of its own, so that the cost of a poll depends on the ready
connections and not on all open ones.
"""

import select

from message_sender.http.client_connection import ClientConnection


class UnreadSockets:
    """A set of connections that can be polled for unread bytes.

    Connections are added when they are open, and removed before their sockets are closed.
    """

    def __init__(self) -> None:
        """Creates an empty set.

        Raises:
            OSError: No descriptor is left.
        """
        self.epoll = select.epoll()
        self.watched: dict[int, ClientConnection] = {}

    def add(self, connection: ClientConnection) -> None:
        """Adds a connection.

        Raises:
            OSError: The system cannot watch the connection (EPERM, ENOSPC or ENOMEM of epoll_ctl(2)).
        """
        number = connection.sock.fileno()
        self.epoll.register(number, select.EPOLLIN)
        self.watched[number] = connection

    def discard(self, connection: ClientConnection) -> None:
        """Removes a connection if it is in the set."""
        number = connection.sock.fileno()
        if number >= 0 and number in self.watched:
            del self.watched[number]
            self.epoll.unregister(number)

    def ready(self) -> list[ClientConnection]:
        """Returns the connections that have unread bytes, an end of stream or an error. Never blocks."""
        if not self.watched:
            return []
        return [self.watched[number] for number, _ in self.epoll.poll(0) if number in self.watched]

    def close(self) -> None:
        """Closes the epoll descriptor."""
        self.watched.clear()
        self.epoll.close()
