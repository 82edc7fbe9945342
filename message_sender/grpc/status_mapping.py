"""What a gRPC status means for an attempt: the one table, free of I/O.

Status codes after the gRPC project's "Status codes and their use in gRPC"; RetryInfo after google/rpc/
error_details.proto. Three things are told apart:

- *final*: the endpoint's own verdict. The message is over, and its caller gets that status. Trying again
would
  hear the same.
- *turned away*: the endpoint says, with RetryInfo, that it did not run the call. Without RetryInfo the same
code
  also comes from the library or a proxy, where the call may have run.
- *may have run*: everything else. The library does not say whether a request had left when its connection
broke,
  so every break after the call was handed to an open connection counts as one that may have run.
"""

import grpc

from message_sender.core.ports import AttemptResult, clamped_wait
from message_sender.policy.model import Outcome

Code = grpc.StatusCode

#: Verdicts that another attempt would only hear again.
FINAL = frozenset(
    {
        Code.INVALID_ARGUMENT,
        Code.NOT_FOUND,
        Code.ALREADY_EXISTS,
        Code.PERMISSION_DENIED,
        Code.FAILED_PRECONDITION,
        Code.OUT_OF_RANGE,
        Code.UNIMPLEMENTED,
        Code.UNAUTHENTICATED,
    }
)
#: With RetryInfo from the endpoint: it never ran.
MAY_BE_TURNED_AWAY = frozenset({Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED})
#: Everything that may have run, and what it says of the endpoint's health.
MAY_HAVE_RUN = {
    Code.CANCELLED: Outcome.RESET,  # the endpoint, or its connection, broke it off
    Code.UNKNOWN: Outcome.ERROR,
    Code.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
    Code.RESOURCE_EXHAUSTED: Outcome.ERROR,  # such as an answer larger than allowed: it has run
    Code.ABORTED: Outcome.ERROR,
    Code.INTERNAL: Outcome.ERROR,
    Code.UNAVAILABLE: Outcome.RESET,  # such as a connection that broke
    Code.DATA_LOSS: Outcome.ERROR,
}


def fate(
    code: grpc.StatusCode, retry_after: float | None, reply: bytes = b"", details: str = ""
) -> AttemptResult:
    """The fate of an attempt that was handed to an open connection and ended with `code`. `retry_after` is
    the endpoint's RetryInfo in seconds, None where it sent none."""
    if code is Code.OK:
        return AttemptResult(Outcome.OK, is_final=True, reply=reply)
    if code in MAY_BE_TURNED_AWAY and retry_after is not None:
        return AttemptResult(Outcome.FULL, retry_after_us=clamped_wait(retry_after))
    if code in FINAL:
        return AttemptResult(Outcome.OK, is_final=True, status=f"{code.name} {details}".strip())
    return AttemptResult(MAY_HAVE_RUN[code])
