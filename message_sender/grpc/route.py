"""Where a call goes: read from its metadata, or told by a function of the host's. Pure."""

import base64
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from message_sender.message import Message
from message_sender.policy.model import Effect, MessageClass

PREFIX = "elmglade-"
IDEMPOTENCY = "idempotency-key"
METHOD = ":path"  # as in HTTP/2; no metadata of a host's can have this name

Metadata = tuple[tuple[str, str | bytes], ...]


class BadRouteError(ValueError):
    """A call that cannot be handed in; the text says why. Nothing of it has run."""


@dataclass(frozen=True, slots=True)
class Route:
    """`id` may be given by the host, to find the answer after a restart; else it is made up."""

    destination: int
    message_class: str = ""  # may be empty where the configuration has one class alone
    tenant: str = ""
    key: str = ""
    idempotency_key: str = ""
    id: str = field(default_factory=lambda: uuid.uuid4().hex)


Router = Callable[[str, bytes, Metadata], Route]


def from_metadata(method: str, body: bytes, metadata: Metadata) -> Route:
    """The usual router: `elmglade-destination`, `-class`, `-tenant`, `-key`, `-id` and `idempotency-key`."""
    told = {key: value for key, value in metadata if isinstance(value, str)}
    destination = told.get(PREFIX + "destination", "")
    if not (destination.isascii() and destination.isdecimal() and len(destination) < 19):
        raise BadRouteError(f"{PREFIX}destination must be a number, not {destination!r}")
    named = {"id": told[PREFIX + "id"]} if told.get(PREFIX + "id") else {}
    return Route(
        int(destination),
        told.get(PREFIX + "class", ""),
        told.get(PREFIX + "tenant", ""),
        told.get(PREFIX + "key", ""),
        told.get(IDEMPOTENCY, ""),
        **named,
    )


def pairs(method: str, metadata: Metadata) -> tuple[tuple[str, str], ...]:
    """What goes on to the endpoint, in the form that the journal keeps: binary values in base64."""
    kept = [(METHOD, method)]
    for key, value in metadata:
        if key.startswith((PREFIX, "grpc-")) or key == IDEMPOTENCY:
            continue
        kept.append((key, base64.b64encode(value).decode() if isinstance(value, bytes) else value))
    return tuple(kept)


def unpaired(extras: Iterable[tuple[str, str]]) -> tuple[str, list[tuple[str, str | bytes]]]:
    """The method and the metadata, from that form."""
    method, metadata = "", []
    for key, value in extras:
        if key == METHOD:
            method = value
        else:
            metadata.append((key, base64.b64decode(value) if key.endswith("-bin") else value))
    return method, metadata


def message_from(
    route: Route,
    classes: dict[str, MessageClass],
    body: bytes,
    extras: tuple[tuple[str, str], ...],
    now: int,
    timeout: float | None,
) -> Message:
    """The message of a call; `now` in us. Raises BadRouteError."""
    name = route.message_class or (next(iter(classes)) if len(classes) == 1 else "")
    if name not in classes:
        raise BadRouteError(f"no class {name!r}; there are {', '.join(classes)}")
    kind = classes[name]
    if kind.effect is Effect.KEYED and not route.idempotency_key:
        raise BadRouteError(f"class {name} needs an idempotency key")
    left = kind.deadline if timeout is None else min(int(timeout * 1e6), kind.deadline)
    return Message(
        id=route.id,
        message_class=name,
        destination=route.destination,
        deadline_us=now + max(left, 0),
        tenant=route.tenant,
        key=route.key,
        idempotency_key=route.idempotency_key,
        is_repeat=False,
        body=body,
        extras=extras,
    )
