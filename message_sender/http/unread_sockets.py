"""Which of many connections have something that nobody has read yet, asked at any moment.

The loop looks at its sockets once a pass, and what a pass found is acted on in the next ones. A process that
had no core meanwhile acts on a view that is as old as its pause. This asks the system again: one epoll(7)
descriptor of its own, level-triggered, so that a look costs by what is ready and not by what is open.
"""

import select

from message_sender.http.client_connection import ClientConnection


class UnreadSockets:
    """Sockets that are asked for unread bytes.

    Connections are added once they are up, and taken out before their sockets close.
    """

    def __init__(self) -> None:
        """Raises OSError where no descriptor is left."""
        self.epoll = select.epoll()
        self.watched: dict[int, ClientConnection] = {}

    def add(self, connection: ClientConnection) -> None:
        """Adds a connection.

        Raises:
            OSError: The system takes no more of them (EPERM, ENOSPC, ENOMEM of epoll_ctl(2)).
        """
        number = connection.sock.fileno()
        self.epoll.register(number, select.EPOLLIN)
        self.watched[number] = connection

    def discard(self, connection: ClientConnection) -> None:
        """Takes a connection out, if it is there."""
        number = connection.sock.fileno()
        if number >= 0 and number in self.watched:
            del self.watched[number]
            self.epoll.unregister(number)

    def ready(self) -> list[ClientConnection]:
        """Connections with unread bytes, an end or an error. Never waits."""
        if not self.watched:
            return []
        return [self.watched[number] for number, _ in self.epoll.poll(0) if number in self.watched]

    def close(self) -> None:
        """Closes the descriptor of its own."""
        self.watched.clear()
        self.epoll.close()
