"""google.rpc.RetryInfo: read from an endpoint's trailers, and written to the trailers of rejections."""

from collections.abc import Iterable
from typing import Any

import grpc
from google.protobuf.any_pb2 import Any as AnyMessage
from google.protobuf.message import DecodeError
from google.rpc.error_details_pb2 import RetryInfo
from google.rpc.status_pb2 import Status

STATUS_DETAILS_KEY = "grpc-status-details-bin"


def retry_after(trailers: Iterable[tuple[str, Any]] | None) -> float | None:
    """Returns the seconds after which the endpoint asks for a retry.

    None: the trailers have no RetryInfo, or one that cannot be decoded.
    """
    for key, value in trailers or ():
        if key != STATUS_DETAILS_KEY or not isinstance(value, bytes):
            continue
        try:
            for detail in Status.FromString(value).details:
                if detail.Is(RetryInfo.DESCRIPTOR):
                    retry_info = RetryInfo()
                    detail.Unpack(retry_info)
                    return retry_info.retry_delay.seconds + retry_info.retry_delay.nanos / 1e9
        except DecodeError:
            return None
    return None


def trailers(code: grpc.StatusCode, text: str, delay_s: float) -> tuple[tuple[str, bytes], ...]:
    """Returns trailing metadata with a RetryInfo.

    Args:
        code: Status code of the call.
        text: Message of the status.
        delay_s: Seconds after which to retry.
    """
    retry_info = RetryInfo()
    retry_info.retry_delay.FromNanoseconds(int(delay_s * 1e9))
    packed = AnyMessage()
    packed.Pack(retry_info)
    status = Status(code=code.value[0], message=text, details=[packed])
    return ((STATUS_DETAILS_KEY, status.SerializeToString()),)
