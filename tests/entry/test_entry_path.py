"""The whole path: callers, an entry host, endpoints of every kind."""

from __future__ import annotations

import json

from entry_cell import Cell, chat_prompt

from lagoonwing_fakes import FakeKind, expected_text


async def test_chat_whole_and_streamed_through_one_endpoint(cell: Cell) -> None:
    """Both forms give the tokens that belong to the prompt, and say that it is done."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    whole = await host.async_chat("name a tent")
    assert whole.code == 200
    assert whole.headers["X-Outcome"] == "done"
    assert whole.headers["X-Result-Code"] == "1000"
    body = json.loads(whole.body)
    assert body["id"] == whole.headers["X-Request-Id"]
    assert body["choices"][0]["message"]["content"] == expected_text(chat_prompt("name a tent"))
    streamed = await host.async_stream("name a boat")
    assert streamed.text == expected_text(chat_prompt("name a boat"))
    assert streamed.done and streamed.whole
    assert streamed.last["outcome"] == "done"


async def test_text_completion(cell: Cell) -> None:
    """The older call works too."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    answer = await host.async_request(
        "/v1/completions", {"model": "m1", "prompt": "sail", "max_tokens": 5}
    )
    assert json.loads(answer.body)["choices"][0]["text"] == expected_text("sail", 5)


async def test_pipeline_runs_each_layer_once_for_each_token_in_order(cell: Cell) -> None:
    """Whole and streamed answers come through three stages."""
    host = await cell.async_add_host()
    await cell.async_add_pipeline(("s1", 0, 4), ("s2", 4, 9), ("s3", 9, 12))
    whole = await host.async_chat("mend [tokens=6]")
    prompt = chat_prompt("mend [tokens=6]")
    assert json.loads(whole.body)["choices"][0]["message"]["content"] == expected_text(prompt)
    request_id = whole.headers["X-Request-Id"]
    ran = [
        (line["token"], line["first"], line["end"])
        for line in cell.truth("token")
        if line["request_id"] == request_id
    ]
    layers = [(0, 4), (4, 9), (9, 12)]
    assert ran == [(token, *pair) for token in range(6) for pair in layers]
    streamed = await host.async_stream("mend [tokens=6]")
    assert streamed.text == expected_text(prompt)
    assert streamed.done and streamed.whole


async def test_claimed_call_through_two_hosts_runs_once(cell: Cell) -> None:
    """The second call with the same key gets the first one's answer."""
    first = await cell.async_add_host()
    second = await cell.async_add_host()
    await cell.async_add_service("v1")
    headers = {"Idempotency-Key": "k1"}
    body = {"name": "lagoa"}
    answer = await first.async_request("/services/names/reserve", body, headers=headers)
    again = await second.async_request("/services/names/reserve", body, headers=headers)
    assert (answer.code, again.code) == (200, 200)
    assert answer.body == again.body
    assert answer.headers["X-Outcome"] == again.headers["X-Outcome"] == "done"
    assert again.headers["X-Result-Code"] == "1001"
    assert len(cell.truth("effect")) == 1


async def test_models_and_status_pages(cell: Cell) -> None:
    """Models are listed; readiness follows the configuration lease; metrics are exposed."""
    host = await cell.async_add_host()
    await cell.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    models = await host.async_request("/v1/models", None, "GET")
    assert [card["id"] for card in json.loads(models.body)["data"]] == ["m1"]
    assert (await host.async_request("/healthz", None, "GET")).code == 200
    assert (await host.async_request("/readyz", None, "GET")).code == 200
    metrics = await host.async_request("/metrics", None, "GET")
    assert b"lagoonwing_entry" in metrics.body
    host.control.lease = False
    assert (await host.async_request("/readyz", None, "GET")).code == 503
    refused = await host.async_chat("anything")
    assert refused.code == 503
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.headers["X-Result-Code"] == "4003"
