"""Health checks and metrics of a control replica."""

from __future__ import annotations

from dataclasses import replace

from control_support import async_start_replica, make_settings
from tornado.httpclient import AsyncHTTPClient

METRICS_PORT = 7405


async def async_get(address: str, path: str) -> tuple[int, str]:
    """Return the status and body of a response."""
    url = f"http://{address}:{METRICS_PORT}{path}"
    response = await AsyncHTTPClient().fetch(url, raise_error=False)
    return response.code, response.body.decode()


async def test_voter_margin_and_readiness_are_reported() -> None:
    """A leader reports its voter margin; a replica without a known leader is not ready."""
    settings = replace(make_settings()[0], metrics_port=METRICS_PORT)
    replica = await async_start_replica(settings)
    address = settings.grpc_address
    assert await async_get(address, "/healthz") == (200, "ok\n")
    assert (await async_get(address, "/readyz"))[0] == 200
    _, page = await async_get(address, "/metrics")
    assert 'lagoonwing_control{name="voter_margin"} 0' in page
    assert 'lagoonwing_control{name="leads"} 1' in page
    replica.log.end_term()
    assert (await async_get(address, "/readyz"))[0] == 503
    assert "voter_margin" not in (await async_get(address, "/metrics"))[1]
    await replica.async_unload()
