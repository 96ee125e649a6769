"""Requests with a prompt part that crashes engines: their record and the checks on it."""

from __future__ import annotations

from dataclasses import dataclass, field

HEADER_PROMPT_PARTS = "X-Lagoonwing-Prompt-Prefix"
CRASHING_PART = "c4a54"
CRASHING_SHARE = 0.1
_FIRST_PART = "f125"
_SOUND_PART = "50d"

_STABLE_WINDOW_S = 3.0
_CRASHES_TO_DETECT = 5
_MAX_LATE_REQUESTS = 3
_MIN_SOUND_STREAMS = 20
_MIN_SERVED_RATIO = 0.5


@dataclass
class CrashingPartRecord:
    """Crashes under the part, and what happened to the requests with and without it.

    Attributes:
        crashed_at: Time of each crash that the part caused.
        reached_at: Time of each request with the part that reached an engine.
        is_served_by_time: Whether each stream without the part was served, by the time it was sent.
        calm_until: Time at which the first request with the part was sent.
    """

    crashed_at: list[float] = field(default_factory=list)
    reached_at: list[float] = field(default_factory=list)
    is_served_by_time: dict[float, bool] = field(default_factory=dict)
    calm_until: float = 0.0

    def violations(self) -> list[str]:
        """Return the violated guarantees."""
        if not self.crashed_at:
            return ["no engine crashed under the crashing part"]
        return self._late_requests() + self._unserved_streams()

    def _late_requests(self) -> list[str]:
        """Check that engines get no more requests with the part soon after the fifth crash."""
        if len(self.crashed_at) < _CRASHES_TO_DETECT:
            return []
        allowed_until = self.crashed_at[_CRASHES_TO_DETECT - 1] + _STABLE_WINDOW_S
        late = sum(time > allowed_until for time in self.reached_at)
        if late <= _MAX_LATE_REQUESTS:
            return []
        return [f"{late} late requests with the part, {len(self.crashed_at)} crashes in all"]

    def _unserved_streams(self) -> list[str]:
        """Check that streams with the same key and first part are served all the same."""
        last_counted = self.crashed_at[:_CRASHES_TO_DETECT][-1]
        before = [ok for time, ok in self.is_served_by_time.items() if time < self.calm_until]
        after = [
            ok
            for time, ok in self.is_served_by_time.items()
            if time > last_counted + 2 * _STABLE_WINDOW_S
        ]
        if min(len(before), len(after)) < _MIN_SOUND_STREAMS:
            return [f"too few streams to compare: {len(before)} before, {len(after)} after"]
        if sum(after) / len(after) >= _MIN_SERVED_RATIO * sum(before) / len(before):
            return []
        return [
            f"{sum(after)} of {len(after)} streams without the part served, "
            f"{sum(before)} of {len(before)} before the crashes"
        ]


def prompt_parts(number: int, *, is_crashing: bool) -> str:
    """Return the prompt parts of a stream request, 10 tokens in all."""
    middle = CRASHING_PART if is_crashing else _SOUND_PART
    return f"{_FIRST_PART}:4,{middle}:4,{number:x}:2"
