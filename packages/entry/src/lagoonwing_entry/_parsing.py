"""Parsing and validation of completion bodies, and request fingerprints."""

from __future__ import annotations

import hashlib

import msgspec
from expression import Error, Ok, Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import Fingerprint, ModelId
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_entry.const import (
    DEFAULT_MAX_TOKENS,
    ESTIMATED_CHARACTERS_PER_TOKEN,
    MAX_PREFIX_HASHES,
    PREFIX_BLOCK_CHARACTERS,
)
from lagoonwing_entry.models import CompletionKind, ModelCall, ServiceCallRequest
from lagoonwing_policy.models import ModelWork

_IMAGE_PART_TYPE = "image_url"


class ContentPart(msgspec.Struct):
    """Content part of a message: text or an image."""

    type: str
    text: str = ""
    image_url: msgspec.Raw | None = None


class ChatMessage(msgspec.Struct):
    """Message of a chat."""

    role: str
    content: str | list[ContentPart] | None = None


class ChatBody(msgspec.Struct):
    """Fields of a chat completion body that this host uses."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    n: int = 1


class TextBody(msgspec.Struct):
    """Fields of a text completion body that this host uses."""

    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool = False
    n: int = 1


_CHAT_DECODER = msgspec.json.Decoder(ChatBody)
_TEXT_DECODER = msgspec.json.Decoder(TextBody)
_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_completion(kind: CompletionKind, body: bytes) -> Result[ModelCall, Refusal]:
    """Return the parsed call, or why it is refused."""
    try:
        fields = _FIELDS_DECODER.decode(body)
        match kind:
            case CompletionKind.CHAT:
                return _chat_call(_CHAT_DECODER.decode(body), fields)
            case CompletionKind.TEXT:
                return _text_call(_TEXT_DECODER.decode(body), fields)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        return Error(Refusal(ResultCode.MALFORMED_REQUEST, str(error)))


def _chat_call(body: ChatBody, fields: dict[str, msgspec.Raw]) -> Result[ModelCall, Refusal]:
    """Return the call of a chat completion."""
    if not body.messages:
        return Error(Refusal(ResultCode.MALFORMED_REQUEST, "messages is empty"))
    limit = body.max_completion_tokens if body.max_tokens is None else body.max_tokens
    prompt = "\n".join(f"{message.role}: {_text(message)}" for message in body.messages)
    images = sum(_image_count(message) for message in body.messages)
    return _validated_call(CompletionKind.CHAT, body, prompt, images, limit, fields)


def _text_call(body: TextBody, fields: dict[str, msgspec.Raw]) -> Result[ModelCall, Refusal]:
    """Return the call of a text completion."""
    return _validated_call(CompletionKind.TEXT, body, body.prompt, 0, body.max_tokens, fields)


def _validated_call(
    kind: CompletionKind,
    body: ChatBody | TextBody,
    prompt: str,
    images: int,
    limit: int | None,
    fields: dict[str, msgspec.Raw],
) -> Result[ModelCall, Refusal]:
    """Return a call with validated limits."""
    if limit is not None and limit < 1:
        return Error(Refusal(ResultCode.MALFORMED_REQUEST, "max_tokens must be at least 1"))
    if body.n != 1:
        return Error(Refusal(ResultCode.MALFORMED_REQUEST, "n must be 1"))
    model_id = ModelId(body.model)
    return Ok(ModelCall(kind, model_id, prompt, images, limit or 0, body.stream, fields))


def model_work(call: ModelCall) -> ModelWork:
    """Return the scheduler's description of a completion."""
    return ModelWork(
        model_id=call.model_id,
        prompt_tokens=max(1, len(call.prompt) // ESTIMATED_CHARACTERS_PER_TOKEN),
        images=call.images,
        max_tokens=call.max_tokens or DEFAULT_MAX_TOKENS,
        prefix_hashes=_prefix_hashes(call.prompt),
    )


def model_fingerprint(call: ModelCall) -> Fingerprint:
    """Return the digest of a completion, ignoring request ids and differences in white space."""
    normalised = " ".join(call.prompt.split())
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{call.kind.value}\0{call.model_id}\0{normalised}".encode())
    return Fingerprint(digest.hexdigest())


def service_fingerprint(call: ServiceCallRequest) -> Fingerprint:
    """Return the digest of a service call."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{call.service_id}\0{call.method}\0{call.path}\0".encode())
    digest.update(call.body)
    return Fingerprint(digest.hexdigest())


def _prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return digests of successively longer prefixes, as used in endpoints' cache events."""
    digest = hashlib.blake2b(digest_size=8)
    hashes: list[str] = []
    for end in range(PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS):
        digest.update(prompt[end - PREFIX_BLOCK_CHARACTERS : end].encode())
        hashes.append(digest.hexdigest())
        if len(hashes) == MAX_PREFIX_HASHES:
            break
    return tuple(hashes)


def _text(message: ChatMessage) -> str:
    """Return the text of a message."""
    match message.content:
        case str() as text:
            return text
        case list() as parts:
            return " ".join(part.text for part in parts if part.text)
        case _:
            return ""


def _image_count(message: ChatMessage) -> int:
    """Return the number of images in a message."""
    if not isinstance(message.content, list):
        return 0
    return sum(1 for part in message.content if part.type == _IMAGE_PART_TYPE)
