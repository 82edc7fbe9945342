"""google.rpc.RetryInfo in a status: read from an endpoint's trailers, written into our own refusals."""

from collections.abc import Iterable
from typing import Any

import grpc
from google.protobuf.any_pb2 import Any as Packed
from google.protobuf.message import DecodeError
from google.rpc.error_details_pb2 import RetryInfo
from google.rpc.status_pb2 import Status

KEY = "grpc-status-details-bin"


def retry_after(trailers: Iterable[tuple[str, Any]] | None) -> float | None:
    """Seconds after which the endpoint says to come again; None where it says nothing, or nothing
    readable."""
    for key, value in trailers or ():
        if key != KEY or not isinstance(value, bytes):
            continue
        try:
            for detail in Status.FromString(value).details:
                if detail.Is(RetryInfo.DESCRIPTOR):
                    told = RetryInfo()
                    detail.Unpack(told)
                    return told.retry_delay.seconds + told.retry_delay.nanos / 1e9
        except DecodeError:
            return None
    return None


def trailers(code: grpc.StatusCode, text: str, after: float) -> tuple[tuple[str, bytes], ...]:
    """Trailing metadata that says to come again after so many seconds."""
    told = RetryInfo()
    told.retry_delay.FromNanoseconds(int(after * 1e9))
    packed = Packed()
    packed.Pack(told)
    status = Status(code=code.value[0], message=text, details=[packed])
    return ((KEY, status.SerializeToString()),)
