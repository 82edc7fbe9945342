"""The operators' calls, as a table: method and path to what is asked. Pure."""

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote


class Operation(Enum):
    TAKES_CLIENTS = "is it taking clients"
    FIGURES = "the figures"
    TAKE_OUT = "take a receiver out"
    PUT_BACK = "put a receiver back"
    SEND_AWAY = "send clients away"
    COME_BACK = "back to work"


@dataclass(frozen=True, slots=True)
class ManagementCall:
    ask: Operation
    receiver: str = ""


@dataclass(frozen=True, slots=True)
class ManagementReply:
    """`status` 2xx is yes, 4xx and 5xx no. What is said is for people, but for the figures."""

    status: int
    text: str = ""


PATHS = {
    ("healthcheck",): ("GET", Operation.TAKES_CLIENTS),
    ("stats",): ("GET", Operation.FIGURES),
    ("healthcheck", "fail"): ("POST", Operation.SEND_AWAY),
    ("healthcheck", "ok"): ("POST", Operation.COME_BACK),
}
OF_RECEIVERS = {"maint": Operation.TAKE_OUT, "ready": Operation.PUT_BACK}


def read(method: str, target: str) -> ManagementCall | ManagementReply:
    """The call, or the reply that refuses what is none."""
    parts = target.partition("?")[0].removeprefix("/").split("/")
    if len(parts) == 3 and parts[0] == "receivers" and parts[1] and parts[2] in OF_RECEIVERS:
        wanted, call = "POST", ManagementCall(OF_RECEIVERS[parts[2]], unquote(parts[1]))
    elif found := PATHS.get(tuple(parts)):
        wanted, call = found[0], ManagementCall(found[1])
    else:
        return ManagementReply(404, "there is no such call")
    return call if method == wanted else ManagementReply(405, f"this call is made with {wanted}")
