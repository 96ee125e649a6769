"""A gateway process stays within its memory while answers of endpoints never end."""

from __future__ import annotations

from pathlib import Path

import pytest
from endless_answers import async_run_play
from endless_endpoints import EndlessPart

# Memory of the smallest host that a gateway must run on.
MAX_GATEWAY_MB = 300.0
SOUND_CALLERS = 8
FAULTY_CALLERS = 40
PLAY_S = 5.0
# Fewer endless answers would show nothing; endpoints are suspected after a few.
MIN_ANSWERS = 9
# Answers to earlier requests need a kept connection, which such endpoints may not get again.
MIN_EARLIER_ANSWERS = 3
# Together, the bodies of all faulty requests take more than a gateway holds of them.
REQUEST_BODY_BYTES = 3 * 1024 * 1024


# Guards against answers without end that take a gateway over its memory, and others' requests too.
@pytest.mark.parametrize("part", EndlessPart, ids=lambda part: part.value)
async def test_gateway_beside_endless_answers_keeps_within_its_memory(
    tmp_path: Path, part: EndlessPart
) -> None:
    """Callers of the sound service are all served meanwhile."""
    async with async_run_play(tmp_path, part) as play:
        await play.async_run(PLAY_S, SOUND_CALLERS, FAULTY_CALLERS)
        begun = play.faulty.begun_answers
        peak_mb = play.peak_mb()
    print(f"{part.value}: {peak_mb:.0f} MB, {play.sound_served} sound, {begun} begun")
    is_earlier = part is EndlessPart.EARLIER_ANSWER
    assert begun >= (MIN_EARLIER_ANSWERS if is_earlier else MIN_ANSWERS)
    assert play.faulty_answers
    assert play.sound_served >= SOUND_CALLERS
    assert play.sound_failures == []
    assert peak_mb < MAX_GATEWAY_MB


async def test_gateway_full_of_request_bodies_keeps_within_its_memory(tmp_path: Path) -> None:
    """The bounds of requests and of answers fit into the memory together."""
    async with async_run_play(tmp_path, EndlessPart.CHUNKED_BODY) as play:
        play.faulty_body = bytes(REQUEST_BODY_BYTES)
        await play.async_run(PLAY_S, SOUND_CALLERS, FAULTY_CALLERS)
        begun = play.faulty.begun_answers
        peak_mb = play.peak_mb()
    print(f"bodies: {peak_mb:.0f} MB, {play.sound_served} sound, {begun} begun")
    assert begun >= MIN_ANSWERS
    assert play.sound_failures == []
    assert peak_mb < MAX_GATEWAY_MB


# Guards against endless answers, each of them cut early, that push out a larger sound one.
@pytest.mark.parametrize(
    ("part", "body_bytes"),
    [
        (EndlessPart.CHUNKED_BODY, 0),
        (EndlessPart.UNFRAMED_BODY, 0),
        (EndlessPart.EVENTS, 0),
        (EndlessPart.CHUNKED_BODY, REQUEST_BODY_BYTES),
    ],
    ids=["chunked_body", "unframed_body", "events", "request_bodies"],
)
async def test_large_sound_answers_beside_endless_ones_are_served(
    tmp_path: Path, part: EndlessPart, body_bytes: int
) -> None:
    """They are larger than what each endless answer has room for."""
    async with async_run_play(tmp_path, part) as play:
        play.faulty_body = bytes(body_bytes)
        await play.async_run(PLAY_S, SOUND_CALLERS, FAULTY_CALLERS, large_callers=1)
        begun = play.faulty.begun_answers
        peak_mb = play.peak_mb()
    print(f"large beside {part.value}: {peak_mb:.0f} MB, {play.sound_served} sound, {begun} begun")
    assert peak_mb < MAX_GATEWAY_MB
    assert begun >= MIN_ANSWERS
    assert play.sound_failures == []
