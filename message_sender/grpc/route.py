"""Routing of calls: from their metadata, or by a function of the host application. Free of I/O."""

import base64
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from message_sender.message import Message
from message_sender.policy.model import Effect, MessageClass

PREFIX = "elmglade-"
IDEMPOTENCY_KEY = "idempotency-key"
METHOD_KEY = ":path"  # as in HTTP/2; the host's metadata cannot contain this key

Metadata = tuple[tuple[str, str | bytes], ...]


class BadRouteError(ValueError):
    """A call cannot be submitted; the text states the reason. It was neither journaled nor sent."""


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and attributes of a call.

    Attributes:
        destination: Number of the destination.
        message_class: Name of the message class; may be empty if the configuration has exactly one.
        tenant: Tenant that the message is accounted to; may be empty.
        key: Ordering key; empty for none.
        idempotency_key: Idempotency key that the endpoint gets; empty for none.
        id: Id of the message. The host sets it to collect the answer after a restart; random by default.
    """

    destination: int
    message_class: str = ""
    tenant: str = ""
    key: str = ""
    idempotency_key: str = ""
    id: str = field(default_factory=lambda: uuid.uuid4().hex)


Router = Callable[[str, bytes, Metadata], Route]


def from_metadata(method: str, body: bytes, metadata: Metadata) -> Route:
    """The default router; reads the route from the call's metadata.

    The keys are `elmglade-destination`, `-class`, `-tenant`, `-key`, `-id` and `idempotency-key`.

    Raises:
        BadRouteError: The destination is missing or is not a number.
    """
    texts = {key: value for key, value in metadata if isinstance(value, str)}
    destination = texts.get(PREFIX + "destination", "")
    if not (destination.isascii() and destination.isdecimal() and len(destination) < 19):
        raise BadRouteError(f"{PREFIX}destination must be a number, not {destination!r}")
    given_id = {"id": texts[PREFIX + "id"]} if texts.get(PREFIX + "id") else {}
    return Route(
        int(destination),
        texts.get(PREFIX + "class", ""),
        texts.get(PREFIX + "tenant", ""),
        texts.get(PREFIX + "key", ""),
        texts.get(IDEMPOTENCY_KEY, ""),
        **given_id,
    )


def encode_extras(method: str, metadata: Metadata) -> tuple[tuple[str, str], ...]:
    """Returns method and metadata of a call for the endpoint, as `Message.extras` in the journal.

    Binary values are encoded in base64. Metadata for the sender and the gRPC library is left out.
    """
    extras = [(METHOD_KEY, method)]
    for key, value in metadata:
        if key.startswith((PREFIX, "grpc-")) or key == IDEMPOTENCY_KEY:
            continue
        extras.append((key, base64.b64encode(value).decode() if isinstance(value, bytes) else value))
    return tuple(extras)


def decode_extras(extras: Iterable[tuple[str, str]]) -> tuple[str, list[tuple[str, str | bytes]]]:
    """Returns method and metadata from the form that `encode_extras` returns."""
    method, metadata = "", []
    for key, value in extras:
        if key == METHOD_KEY:
            method = value
        else:
            metadata.append((key, base64.b64decode(value) if key.endswith("-bin") else value))
    return method, metadata


def build_message(
    route: Route,
    classes: dict[str, MessageClass],
    body: bytes,
    extras: tuple[tuple[str, str], ...],
    now: int,
    timeout: float | None,
) -> Message:
    """Returns the message of a call.

    Args:
        route: Route of the call.
        classes: Message classes by name.
        body: Serialized request.
        extras: Method and metadata, as `encode_extras` returns them.
        now: Current time in microseconds.
        timeout: Timeout of the call in seconds, limited to the deadline of the class; None for that deadline.

    Raises:
        BadRouteError: The class is unknown, or requires an idempotency key that is missing.
    """
    name = route.message_class or (next(iter(classes)) if len(classes) == 1 else "")
    if name not in classes:
        raise BadRouteError(f"no class {name!r}; the configured classes are {', '.join(classes)}")
    config = classes[name]
    if config.effect is Effect.KEYED and not route.idempotency_key:
        raise BadRouteError(f"class {name} needs an idempotency key")
    time_left_us = config.deadline if timeout is None else min(int(timeout * 1e6), config.deadline)
    return Message(
        id=route.id,
        message_class=name,
        destination=route.destination,
        deadline_us=now + max(time_left_us, 0),
        tenant=route.tenant,
        key=route.key,
        idempotency_key=route.idempotency_key,
        is_repeat=False,
        body=body,
        extras=extras,
    )
