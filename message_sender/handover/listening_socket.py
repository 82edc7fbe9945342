"""The listening socket for clients, which the platform keeps open and each process inherits."""

import socket


def open_listening_socket(descriptor: str) -> socket.socket:
    """Returns the listening socket of an inherited file descriptor.

    Args:
        descriptor: Number of the descriptor, as text from the environment.

    Raises:
        ValueError: The descriptor is not a listening TCP socket; the text is one line. The descriptor is left
            open.
    """
    try:
        sock = socket.socket(fileno=int(descriptor))
    except (OSError, ValueError, OverflowError) as error:
        raise ValueError(f"{descriptor!r} names no socket: {error}") from None
    try:
        is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        sock.detach()
        raise ValueError(f"{descriptor!r} names no socket: {error}") from None
    if not is_listening or sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        sock.detach()
        raise ValueError(f"{descriptor!r} names no listening TCP socket")
    return sock
