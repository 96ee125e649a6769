"""Announces a fake endpoint to entry hosts and renews the announcement."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPError

from lagoonwing_fakes.const import ANNOUNCE_RETRY_S, ANNOUNCE_TIMEOUT_S, DEFAULT_RENEW_INTERVAL_S
from lagoonwing_fakes.models import FakeKind, FakeSettings


class Announcer:
    """Announces to one entry host at a time, failing over to the next on error."""

    def __init__(self, settings: FakeSettings, port: int, incarnation: int) -> None:
        self._settings = settings
        self._port = port
        self._incarnation = incarnation
        self._sequence = 0
        self._entries = list(settings.entries)
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start announcing, if entry hosts are configured."""
        if self._entries:
            self._task = asyncio.get_running_loop().create_task(self._async_renew())

    async def async_leave(self) -> None:
        """Announce to all entry hosts that the endpoint is leaving."""
        if self._task is not None:
            self._task.cancel()
        for entry in self._entries:
            await self._async_announce(entry, "leaving")

    async def async_unload(self) -> None:
        """Stop renewing without announcing a leave, as a lost process would."""
        if self._task is not None:
            self._task.cancel()

    async def _async_renew(self) -> None:
        """Renew the announcement until cancelled."""
        while True:
            renew_after_s = await self._async_announce(self._entries[0], "serving")
            if renew_after_s is None:
                self._entries.append(self._entries.pop(0))
                await asyncio.sleep(ANNOUNCE_RETRY_S)
                continue
            await asyncio.sleep(renew_after_s)

    async def _async_announce(self, entry: str, state: str) -> float | None:
        """Announce once; return the renewal interval in seconds, or `None` on failure."""
        self._sequence += 1
        headers = {"Authorization": f"Bearer {self._settings.endpoint_key}"}
        try:
            response = await AsyncHTTPClient().fetch(
                f"http://{entry}/announce",
                method="POST",
                headers=headers,
                body=msgspec.json.encode(self.record(state)),
                request_timeout=ANNOUNCE_TIMEOUT_S,
            )
        except (OSError, HTTPError):
            return None
        decoded = msgspec.json.decode(response.body)
        return float(decoded.get("renew_after_s", DEFAULT_RENEW_INTERVAL_S))

    def record(self, state: str) -> dict[str, Any]:
        """Return the announcement record."""
        settings = self._settings
        record: dict[str, Any] = {
            "endpoint_id": settings.endpoint_id,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "state": state,
            "kind": settings.kind.value,
            "address": settings.address,
            "port": self._port,
            "failure_domain": settings.failure_domain,
            "accelerator": settings.accelerator,
            "slots": settings.slots,
            "tokens_per_s": settings.announced_tokens_per_s or settings.tokens_per_s,
            "kv_tokens": settings.kv_tokens,
            "honours_fencing": settings.honours_fencing,
            "exports_kv": settings.exports_kv,
            "honours_priority": settings.honours_priority,
        }
        match settings.kind:
            case FakeKind.WHOLE_MODEL:
                record["models"] = [settings.model]
            case FakeKind.STAGE:
                record["models"] = [settings.model]
                record["layers"] = {"first": settings.first, "end": settings.end}
                record["layer_count"] = settings.layer_count
            case FakeKind.SERVICE:
                record["service"] = settings.service
                record["calls"] = [_parse_call(text) for text in settings.calls]
        return record


def _parse_call(text: str) -> dict[str, Any]:
    """Parse an announced call, `METHOD:/path:idempotent|once`."""
    method, path, call_kind = text.split(":")
    return {"method": method, "path": path, "idempotent": call_kind == "idempotent"}
