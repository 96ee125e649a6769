"""Commands of `lagoonctl` against a running replica."""

from __future__ import annotations

import asyncio
import json

import pytest
from control_support import TOKEN, Replica, async_start_replica, async_until, make_follower

from lagoonctl import main


class CommandRunner:
    """Runs `lagoonctl` commands against one replica."""

    def __init__(self, replica: Replica, capsys: pytest.CaptureFixture[str]) -> None:
        self._replica = replica
        self._capsys = capsys

    async def async_run(self, line: str, *, as_json: bool = True) -> tuple[int, list[dict], str]:
        """Return the exit code, the printed JSON documents and standard error."""
        arguments = [*line.split(), "--token", TOKEN]
        if "--address" not in line:
            arguments += ["--address", self._replica.operator_address]
        if as_json:
            arguments.append("--json")
        self._capsys.readouterr()
        code = await asyncio.to_thread(main.run, arguments)
        printed = self._capsys.readouterr()
        rows = [json.loads(text) for text in printed.out.splitlines() if as_json]
        return code, rows, printed.err


@pytest.fixture
async def replica():
    """A running replica."""
    running = await async_start_replica()
    yield running
    await running.async_unload()


@pytest.fixture
def cli(replica, capsys):
    """A command runner for the replica."""
    return CommandRunner(replica, capsys)


async def test_member_and_agreement_replicate_to_follower(replica, cli) -> None:
    """Created entities appear in the view of a follower that holds a lease."""
    follower = make_follower(replica.settings.replicas)
    await follower.async_setup()
    code, rows, _ = await cli.async_run("member create marca --name Marca --key secret")
    assert (code, rows[0]["revision"]) == (0, 1)
    code, rows, _ = await cli.async_run(
        "agreement create gold --member marca --max-concurrency 8 --max-tokens-per-s 100"
    )
    assert (code, rows[0]["revision"], rows[0]["max_concurrency"]) == (0, 2, 8)
    await async_until(lambda: follower.view.revision == 2 and follower.may_take_work())
    assert follower.view.agreement_by_member["marca"].max_tokens_per_s == 100
    assert [member.name for member in follower.view.member_by_key_hash.values()] == ["Marca"]
    await follower.async_unload()


async def test_resent_change_returns_original_result(cli) -> None:
    """Resending a change id with the same body returns the result without a new change."""
    _, first, _ = await cli.async_run("member create marca --key secret")
    resend = f"member create marca --key secret --change-id {first[0]['change_id']}"
    code, again, _ = await cli.async_run(resend)
    assert code == 0
    assert again == [{**first[0], "replayed": True}]
    code, _, errors = await cli.async_run(resend.replace("secret", "other"))
    assert code == main.ExitCode.REFUSED
    assert json.loads(errors)["name"] == "change_id_reused"


async def test_exit_codes(cli) -> None:
    """Conflicts, refusals, usage errors and timeouts have distinct exit codes."""
    await cli.async_run("config set retries 3")
    code, _, errors = await cli.async_run("config set retries 4 --expect-revision 7")
    assert (code, json.loads(errors)["result_code"]) == (4, 6002)
    code, _, _ = await cli.async_run("member get nobody")
    assert code == 1
    assert (await cli.async_run("member create", as_json=False))[0] == 2
    assert (await cli.async_run("member create x --expect-revision many"))[0] == 2
    unreachable = "--address 127.0.0.1:1 --timeout 0.3"
    code, _, errors = await cli.async_run(f"member create x {unreachable}")
    assert code == 3
    assert "--change-id" in errors


async def test_fails_over_to_next_replica(replica, cli) -> None:
    """An unreachable replica is skipped."""
    both = f"--address 127.0.0.1:1 --address {replica.operator_address}"
    code, rows, _ = await cli.async_run(f"member create marca {both}")
    assert (code, rows[0]["member_id"]) == (0, "marca")


async def test_entity_lifecycle(cli) -> None:
    """Create, change, list, retire, history and watch show consistent state."""
    for number in range(3):
        await cli.async_run(f"member create m{number}")
    code, rows, _ = await cli.async_run("member change m1 --name Other")
    assert (code, rows[0]["revision"], rows[0]["name"]) == (0, 4, "Other")
    await cli.async_run("member retire m2")
    _, rows, _ = await cli.async_run("member list")
    assert [(row["member_id"], row["state"]) for row in rows] == [
        ("m0", "active"),
        ("m1", "active"),
        ("m2", "retired"),
    ]
    _, history, _ = await cli.async_run("history --after-revision 2")
    assert [row["revision"] for row in history] == [3, 4, 5]
    _, watched, _ = await cli.async_run("watch --after-revision 2 --count 3")
    assert watched == history


async def test_entities_of_each_kind_are_ended_at_their_revision(cli) -> None:
    """Ending an entity keeps it in a final state; an unknown or changed one is refused."""
    await cli.async_run("member create m1")
    await cli.async_run("agreement create a1 --member m1")
    await cli.async_run("stop order s1 --endpoint e1")
    code, _, errors = await cli.async_run("agreement retire a1 --expect-revision 1")
    assert (code, json.loads(errors)["name"]) == (4, "revision_conflict")
    for line, state in (
        ("agreement retire a1", "retired"),
        ("member retire m1", "retired"),
        ("stop cancel s1", "cancelled"),
    ):
        code, rows, _ = await cli.async_run(line)
        assert (code, rows[0]["state"]) == (0, state), line
    code, _, errors = await cli.async_run("quarantine clear f1")
    assert (code, json.loads(errors)["name"]) == (1, "unknown_entity")
    code, _, errors = await cli.async_run("quarantine clear f1 --expect-revision 0")
    assert (code, json.loads(errors)["name"]) == (1, "invalid_change")


async def test_stop_becomes_safe_and_status_shows_the_replica(cli) -> None:
    """A stop of an idle target becomes safe; stopping the host of the last voter is refused."""
    code, rows, _ = await cli.async_run("stop order s1 --endpoint e1")
    assert (code, rows[0]["state"]) == (0, "draining")
    await asyncio.sleep(0.5)
    _, rows, _ = await cli.async_run("stop get s1")
    assert rows[0]["state"] == "safe"
    code, _, errors = await cli.async_run("stop order s2 --host control-1")
    assert (code, json.loads(errors)["name"]) == (1, "stop_refused")
    code, rows, _ = await cli.async_run("status")
    assert (code, rows[0]["role"], rows[0]["quorum"], rows[0]["margin"]) == (0, "leader", True, 0)


async def test_wrong_token_is_refused(replica, capsys) -> None:
    """A request with an invalid token is refused."""
    arguments = ["member", "list", "--address", replica.operator_address, "--token", "x", "--json"]
    code = await asyncio.to_thread(main.run, arguments)
    assert code == 1
    assert json.loads(capsys.readouterr().err)["name"] == "operator_refused"
