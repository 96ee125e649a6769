"""Command line of a fake endpoint: `python -m lagoonwing_fakes --kind whole_model ...`."""

from __future__ import annotations

import argparse
import asyncio
import signal
import types
import typing
from dataclasses import MISSING, fields

from lagoonwing_fakes._endpoint import FakeEndpoint
from lagoonwing_fakes.models import FakeKind, FakeSettings, Fault, FaultPlan


def parse_arguments(arguments: list[str] | None = None) -> tuple[FakeSettings, FaultPlan]:
    """Parse the settings and the fault plan from the command line.

    Each field of `FakeSettings` is an option; `endpoint_id` becomes `--endpoint-id`.
    """
    parser = argparse.ArgumentParser(prog="python -m lagoonwing_fakes")
    hints = typing.get_type_hints(FakeSettings)
    for field in fields(FakeSettings):
        option = "--" + field.name.replace("_", "-")
        required = field.default is MISSING
        default = None if required else field.default
        field_type = hints[field.name]
        if field_type is bool:
            parser.add_argument(
                option, action=argparse.BooleanOptionalAction, default=bool(default)
            )
        elif isinstance(field_type, types.GenericAlias):
            parser.add_argument(option, action="append", default=[])
        else:
            parser.add_argument(option, type=field_type, default=default, required=required)
    parser.add_argument("--fault", type=Fault, default=Fault.NONE)
    parser.add_argument("--fault-count", type=int, default=-1)
    parser.add_argument("--fault-after-tokens", type=int, default=0)
    parser.add_argument("--fault-delay-s", type=float, default=0.2)
    parser.add_argument("--crash-marker", default="")
    values = vars(parser.parse_args(arguments))
    plan = FaultPlan(
        fault=values["fault"],
        count=values["fault_count"],
        after_tokens=values["fault_after_tokens"],
        delay_s=values["fault_delay_s"],
        crash_marker=values["crash_marker"],
    )
    settings_values = {field.name: values[field.name] for field in fields(FakeSettings)}
    settings_values["entries"] = tuple(settings_values["entries"])
    settings_values["calls"] = tuple(settings_values["calls"])
    assert isinstance(settings_values["kind"], FakeKind)
    return FakeSettings(**settings_values), plan


async def async_main(settings: FakeSettings, plan: FaultPlan) -> None:
    """Run until SIGTERM or SIGINT, then announce the leave and stop."""
    endpoint = FakeEndpoint(settings, plan)
    await endpoint.async_setup()
    print(f"listening {settings.address}:{endpoint.port}", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await stop.wait()
    await endpoint.async_leave()
    await endpoint.async_unload()


if __name__ == "__main__":
    asyncio.run(async_main(*parse_arguments()))
