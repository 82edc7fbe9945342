"""The operators' calls, as a table: method and path to what is asked. Pure."""

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote


class Ask(Enum):
    TAKES_CLIENTS = "is it taking clients"
    FIGURES = "the figures"
    TAKE_OUT = "take a receiver out"
    PUT_BACK = "put a receiver back"
    SEND_AWAY = "send clients away"
    COME_BACK = "back to work"


@dataclass(frozen=True, slots=True)
class Call:
    ask: Ask
    receiver: str = ""


@dataclass(frozen=True, slots=True)
class Reply:
    """`status` 2xx is yes, 4xx and 5xx no. What is said is for people, but for the figures."""

    status: int
    text: str = ""


PATHS = {
    ("healthcheck",): ("GET", Ask.TAKES_CLIENTS),
    ("stats",): ("GET", Ask.FIGURES),
    ("healthcheck", "fail"): ("POST", Ask.SEND_AWAY),
    ("healthcheck", "ok"): ("POST", Ask.COME_BACK),
}
OF_RECEIVERS = {"maint": Ask.TAKE_OUT, "ready": Ask.PUT_BACK}


def read(method: str, target: str) -> Call | Reply:
    """The call, or the reply that refuses what is none."""
    parts = target.partition("?")[0].removeprefix("/").split("/")
    if len(parts) == 3 and parts[0] == "receivers" and parts[1] and parts[2] in OF_RECEIVERS:
        wanted, call = "POST", Call(OF_RECEIVERS[parts[2]], unquote(parts[1]))
    elif found := PATHS.get(tuple(parts)):
        wanted, call = found[0], Call(found[1])
    else:
        return Reply(404, "there is no such call")
    return call if method == wanted else Reply(405, f"this call is made with {wanted}")
