"""Complete request path: callers, an entry host and endpoints of every kind."""

from __future__ import annotations

import json

from entry_client import chat_prompt
from entry_cluster import Cluster

from lagoonwing_fakes import FakeKind, expected_text


async def test_chat_completions_complete_and_streamed(cluster: Cluster) -> None:
    """Streamed and complete responses contain the expected tokens and the outcome `done`."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    chat_response = await host.async_chat("name a tent")
    assert chat_response.code == 200
    assert chat_response.headers["X-Outcome"] == "done"
    assert chat_response.headers["X-Result-Code"] == "1000"
    body = json.loads(chat_response.body)
    assert body["id"] == chat_response.headers["X-Request-Id"]
    assert body["choices"][0]["message"]["content"] == expected_text(chat_prompt("name a tent"))
    streamed = await host.async_stream("name a boat")
    assert streamed.text == expected_text(chat_prompt("name a boat"))
    assert streamed.done and streamed.complete
    assert streamed.last["outcome"] == "done"


async def test_text_completion(cluster: Cluster) -> None:
    """Text completions are served."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    response = await host.async_request(
        "/v1/completions", {"model": "m1", "prompt": "sail", "max_tokens": 5}
    )
    assert json.loads(response.body)["choices"][0]["text"] == expected_text("sail", 5)


async def test_pipeline_runs_each_layer_once_per_token_in_order(cluster: Cluster) -> None:
    """Complete and streamed responses through a pipeline of three stages."""
    host = await cluster.async_add_host()
    await cluster.async_add_pipeline(("s1", 0, 4), ("s2", 4, 9), ("s3", 9, 12))
    chat_response = await host.async_chat("mend [tokens=6]")
    prompt = chat_prompt("mend [tokens=6]")
    assert json.loads(chat_response.body)["choices"][0]["message"]["content"] == expected_text(
        prompt
    )
    request_id = chat_response.headers["X-Request-Id"]
    ran = [
        (line["token"], line["first"], line["end"])
        for line in cluster.endpoint_log("token")
        if line["request_id"] == request_id
    ]
    layers = [(0, 4), (4, 9), (9, 12)]
    assert ran == [(token, *pair) for token in range(6) for pair in layers]
    streamed = await host.async_stream("mend [tokens=6]")
    assert streamed.text == expected_text(prompt)
    assert streamed.done and streamed.complete


async def test_call_resent_to_another_host_runs_once(cluster: Cluster) -> None:
    """A second call with the same key receives the response of the first."""
    first = await cluster.async_add_host()
    second = await cluster.async_add_host()
    await cluster.async_add_service("v1")
    headers = {"Idempotency-Key": "k1"}
    body = {"name": "lagoa"}
    response = await first.async_request("/services/names/reserve", body, headers=headers)
    again = await second.async_request("/services/names/reserve", body, headers=headers)
    assert (response.code, again.code) == (200, 200)
    assert response.body == again.body
    assert response.headers["X-Outcome"] == again.headers["X-Outcome"] == "done"
    assert again.headers["X-Result-Code"] == "1001"
    assert len(cluster.endpoint_log("effect")) == 1


async def test_models_and_status_endpoints(cluster: Cluster) -> None:
    """Models are listed, readiness depends on the configuration lease, and metrics are exposed."""
    host = await cluster.async_add_host()
    await cluster.async_add_fake(FakeKind.WHOLE_MODEL, "w1")
    models = await host.async_request("/v1/models", None, "GET")
    assert [card["id"] for card in json.loads(models.body)["data"]] == ["m1"]
    assert (await host.async_request("/healthz", None, "GET")).code == 200
    assert (await host.async_request("/readyz", None, "GET")).code == 200
    metrics = await host.async_request("/metrics", None, "GET")
    assert b"lagoonwing_entry" in metrics.body
    host.control.lease_valid = False
    assert (await host.async_request("/readyz", None, "GET")).code == 503
    refused = await host.async_chat("anything")
    assert refused.code == 503
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.headers["X-Result-Code"] == "4003"
