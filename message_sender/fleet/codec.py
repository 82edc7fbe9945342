"""Encodes link messages as msgpack and decodes them."""

from typing import Generic, TypeVar

import msgspec

Message = TypeVar("Message")


class DecodingError(ValueError):
    """The bytes are not a valid message of the expected type; the text gives the reason."""


class MessageCodec(Generic[Message]):
    """Encodes and decodes messages of one type; decoding validates every field."""

    def __init__(self, message_type: type[Message]) -> None:
        """Creates a codec for a msgspec type or a union of them."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(message_type)

    def encode(self, message: Message) -> bytes:
        """Encodes a message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes) -> Message:
        """Decodes a message.

        Raises:
            DecodingError: If the bytes are not a valid message of the type.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise DecodingError(str(error)) from None
