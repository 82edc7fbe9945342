"""Mapping of gRPC statuses to results of attempts; free of I/O.

Status codes follow the gRPC project's "Status codes and their use in gRPC", RetryInfo follows
google/rpc/error_details.proto. There are three groups:

- *Final*: the endpoint's own result. The message is complete, and its caller gets that status. A retry would
  have the same result.
- *Rejected*: the endpoint states by RetryInfo that it did not run the call. Without RetryInfo, the library or
  a proxy may have set the same code, and the call may have run.
- *May have run*: all other statuses. The library does not report whether a request was sent before its
  connection broke, so each failure after the call was handed to an open connection counts as a call that may
  have run.
"""

import grpc

from message_sender.core.ports import AttemptResult, clamp_retry_after_us
from message_sender.policy.model import Outcome

Code = grpc.StatusCode

#: Final codes: another attempt would have the same result.
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
#: Codes that, with RetryInfo from the endpoint, mean that the call never ran.
REJECTION_CODES = frozenset({Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED})
#: Codes after which the call may have run, with the outcome that is counted for the endpoint's health.
MAY_HAVE_RUN = {
    Code.CANCELLED: Outcome.RESET,  # the endpoint cancelled the call, or its connection broke
    Code.UNKNOWN: Outcome.ERROR,
    Code.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
    Code.RESOURCE_EXHAUSTED: Outcome.ERROR,  # for example a response above the size limit: the call has run
    Code.ABORTED: Outcome.ERROR,
    Code.INTERNAL: Outcome.ERROR,
    Code.UNAVAILABLE: Outcome.RESET,  # for example a broken connection
    Code.DATA_LOSS: Outcome.ERROR,
}


def map_status(
    code: grpc.StatusCode, retry_after: float | None, reply: bytes = b"", details: str = ""
) -> AttemptResult:
    """Returns the result of an attempt that was handed to an open connection.

    Args:
        code: Status code that the attempt ended with.
        retry_after: The delay in the endpoint's RetryInfo in seconds; None if it sent none.
        reply: The response, with the code OK.
        details: Text of the status.
    """
    if code is Code.OK:
        return AttemptResult(Outcome.OK, is_final=True, reply=reply)
    if code in REJECTION_CODES and retry_after is not None:
        return AttemptResult(Outcome.FULL, retry_after_us=clamp_retry_after_us(retry_after))
    if code in FINAL:
        return AttemptResult(Outcome.OK, is_final=True, status=f"{code.name} {details}".strip())
    return AttemptResult(MAY_HAVE_RUN[code])
