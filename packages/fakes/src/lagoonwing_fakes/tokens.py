"""Tokens derived from the prompt, so that a response identifies its request."""

from __future__ import annotations

import hashlib
import re
from typing import Any

from lagoonwing_fakes.const import DEFAULT_TOKENS, MAX_PREFIXES, PREFIX_LENGTH_CHARS

_TOKEN_COUNT_PATTERN = re.compile(r"\[tokens=(\d+)\]")


def prompt_text(messages: list[dict[str, Any]]) -> str:
    """Join chat messages into one prompt."""
    return "\n".join(f"{message.get('role')}: {message.get('content')}" for message in messages)


def prompt_seed(prompt: str) -> str:
    """Return the digest that determines all tokens generated for a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()


def prefix_digests(prompt: str) -> list[str]:
    """Return digests of successive prefixes; entry hosts compute the same ones."""
    digest = hashlib.blake2b(digest_size=8)
    digests = []
    for end in range(PREFIX_LENGTH_CHARS, len(prompt) + 1, PREFIX_LENGTH_CHARS):
        digest.update(prompt[end - PREFIX_LENGTH_CHARS : end].encode())
        digests.append(digest.hexdigest())
    return digests[:MAX_PREFIXES]


def token_text(seed: str, index: int) -> str:
    """Return the text of a token."""
    digest = hashlib.sha256(f"{seed}:{index}".encode()).hexdigest()
    return f" {digest[:5]}"


def token_count(prompt: str, max_tokens: int) -> int:
    """Return how many tokens to generate; `[tokens=N]` in the prompt requests N."""
    match = _TOKEN_COUNT_PATTERN.search(prompt)
    count = int(match.group(1)) if match else DEFAULT_TOKENS
    return min(count, max_tokens) if max_tokens else count


def expected_text(prompt: str, max_tokens: int = 0) -> str:
    """Return the complete text generated for a prompt."""
    seed = prompt_seed(prompt)
    return "".join(token_text(seed, n) for n in range(token_count(prompt, max_tokens)))
