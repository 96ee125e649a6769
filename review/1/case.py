"""The machines that a gateway found at its start are replaced one by one by others."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import client, operator, servers
from standins.case import async_wait_ready, async_wait_version, run_case
from standins.site import Process, Site, UnavailableError

# The successor comes 1 s after the loss, and has `catch-up-s` (4 s) before the next loss.
_SUCCESSOR_S = 1.0
_BETWEEN_REPLACEMENTS_S = 9.0
# `stable-window-ms`, then `config-apply-ms` and half a second.
_STABLE_S = 3.0
_APPLIED_S = 2.5
# One core machine in each zone, of which one may be lost; the gateways stand as on the sheet.
_CORE_ZONES = ("quito-norte", "guayaquil-sur", "cuenca-centro")
_TOLERATED_LOSSES = 1
_GATEWAY_ZONES = ("quito-norte", "quito-norte", "guayaquil-sur", "cuenca-centro")


async def async_case(site: Site, with_trouble: bool) -> list[str]:
    """Replace three machines, change the configuration, and see which version is in force."""
    site.tolerated_losses = _TOLERATED_LOSSES
    addresses = [site.address() for _ in _CORE_ZONES]
    seeds = [f"{address}:{site.ports['control']}" for address in addresses]
    cores: list[Process] = []
    for zone, address in zip(_CORE_ZONES, addresses, strict=True):
        cores.append(site.add("registry", zone, seeds, bootstrap=True, address=address))
    gateways = [site.add("gateway", zone, seeds, bootstrap=True) for zone in _GATEWAY_ZONES]
    for process in (*cores, *gateways):
        site.start(process)

    def controls() -> list[str]:
        return [site.control(core) for core in cores]

    for name in ("old", "new"):
        await servers.Server(
            f"i-{name}",
            f"service-{name}",
            "quito-norte",
            site.address(),
            controls,
            site.record,
            servers.async_answer_plainly,
        ).async_start()
    if not await operator.async_put(controls(), _configuration(1, "service-old"), site.record):
        raise UnavailableError("the first configuration was not acknowledged")
    for gateway in gateways:
        await async_wait_ready(site, gateway)
    fronts = [f"{gateway.address}:{site.ports['front']}" for gateway in gateways]
    await asyncio.sleep(5.0)
    for front in fronts:
        if not await _async_is_run_by(site, front, "service-old"):
            raise UnavailableError("the first configuration is not in force")

    for number in (2, 1, 0):
        if with_trouble:
            await _async_replace(site, cores, number)
        await asyncio.sleep(_BETWEEN_REPLACEMENTS_S)
    for core in cores:
        await async_wait_version(site, core, 1)
    await asyncio.sleep(_STABLE_S)
    if not await operator.async_put(controls(), _configuration(2, "service-new"), site.record):
        raise UnavailableError("the change was not acknowledged")
    site.record("acknowledged", version=2)
    await asyncio.sleep(_APPLIED_S)
    breaks = []
    for second in range(5):
        for gateway, front in zip(gateways, fronts, strict=True):
            if not await _async_is_run_by(site, front, "service-new"):
                breaks.append(
                    f"CONFIG: {_APPLIED_S + second:g} s after the acknowledgement of version 2, "
                    f"a request at {gateway.name} was handled as only version 1 allows"
                )
        await asyncio.sleep(1.0)
    return breaks


async def _async_replace(site: Site, cores: list[Process], number: int) -> None:
    """Remove a machine for good and add an empty one at another address."""
    old = cores.pop(number)
    site.remove(old)
    await asyncio.sleep(_SUCCESSOR_S)
    seeds = [site.control(core) for core in cores]
    new = site.add("registry", old.zone, seeds, bootstrap=False)
    site.start(new)
    cores.append(new)


async def _async_is_run_by(site: Site, front: str, service: str) -> bool:
    """Return whether a request on the route is run by a service."""
    answer = await client.async_send(front, "GET", "/move/x", site.record)
    return answer is not None and answer.body.decode().startswith(f"{service} ran ")


def _configuration(version: int, service: str) -> dict[str, object]:
    """Return a configuration whose route leads to a service."""
    return operator.configuration(
        version,
        [operator.route("r-move", "/move/", "safe", service)],
        [operator.service("service-old"), operator.service("service-new")],
    )


run_case(Path(__file__).resolve().parent, async_case)
