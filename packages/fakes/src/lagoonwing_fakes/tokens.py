"""Tokens as a function of the prompt, so that an answer shows whose it is."""

from __future__ import annotations

import hashlib
import re
from typing import Any

from lagoonwing_fakes.const import DEFAULT_TOKENS, MAX_PREFIXES, PREFIX_CHARACTERS

_WANTED = re.compile(r"\[tokens=(\d+)\]")


def prompt_text(messages: list[dict[str, Any]]) -> str:
    """Return the text of a chat as one prompt."""
    return "\n".join(f"{message.get('role')}: {message.get('content')}" for message in messages)


def seed_of(prompt: str) -> str:
    """Return the digest that decides every token of a prompt's answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()


def prefix_digests(prompt: str) -> list[str]:
    """Return digests of growing prefixes, as entry hosts compute them too."""
    digest = hashlib.blake2b(digest_size=8)
    digests = []
    for end in range(PREFIX_CHARACTERS, len(prompt) + 1, PREFIX_CHARACTERS):
        digest.update(prompt[end - PREFIX_CHARACTERS : end].encode())
        digests.append(digest.hexdigest())
    return digests[:MAX_PREFIXES]


def token_text(seed: str, index: int) -> str:
    """Return the text of one token."""
    digest = hashlib.sha256(f"{seed}:{index}".encode()).hexdigest()
    return f" {digest[:5]}"


def token_count(prompt: str, max_tokens: int) -> int:
    """Return how many tokens a prompt gets; `[tokens=N]` in the prompt asks for N."""
    wanted = _WANTED.search(prompt)
    count = int(wanted.group(1)) if wanted else DEFAULT_TOKENS
    return min(count, max_tokens) if max_tokens else count


def expected_text(prompt: str, max_tokens: int = 0) -> str:
    """Return the whole answer that belongs to a prompt."""
    seed = seed_of(prompt)
    return "".join(token_text(seed, n) for n in range(token_count(prompt, max_tokens)))
