"""Steps of the main path, against real processes."""

import asyncio
import json
import signal

from behave import given, step, then, when

from bluebellusher_standins.engine import compute_expected_answer


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def entry_url(context, number: int, path: str) -> str:
    port = context.cluster.process_by_name[f"entry-{number}"].port
    return f"http://127.0.0.1:{port}{path}"


async def post(context, number: int, path: str, body: bytes, headers=None) -> None:
    url = entry_url(context, number, path)
    async with context.session.post(url, data=body, headers=headers) as answer:
        context.answers.append((answer.status, await answer.read()))


@given("a platform, an engine, an order desk and 2 entries")
def start_all(context):
    async def start() -> None:
        cluster = context.cluster
        await cluster.start_platform()
        await asyncio.gather(
            cluster.start_engine("engine-1", "a"),
            cluster.start_plain_service("desk-1", "a"),
        )
        ports = cluster.reserve_peer_ports(2)
        entries = [cluster.start_entry(f"entry-{i + 1}", "a", ports[i]) for i in (0, 1)]
        await asyncio.gather(*entries)

    run(context, start())


def model_body(n_tokens: int) -> bytes:
    body = {"model": "model-a", "messages": [], "stream": True}
    return json.dumps({**body, "max_tokens": n_tokens}).encode()


@when("a caller asks for {n_tokens:d} tokens as a stream")
def ask_stream(context, n_tokens):
    context.body = model_body(n_tokens)
    run(context, post(context, 1, "/v1/chat/completions", context.body))


@when("somebody asks for {n_tokens:d} tokens with a wrong credential")
def ask_with_wrong_credential(context, n_tokens):
    headers = {"Authorization": "Bearer wrong"}
    body = model_body(n_tokens)
    run(context, post(context, 1, "/v1/chat/completions", body, headers))


@when('a caller books "{room}" with key "{key}" at entry {number:d}')
def book(context, room, key, number):
    path = "/services/order-desk/bookings"
    headers = {"Idempotency-Key": key}
    run(context, post(context, number, path, room.encode(), headers))


@step('the outcome of key "{key}" is "{outcome}"')
def wait_for_outcome(context, key, outcome):
    async def wait() -> None:
        url = entry_url(context, 1, f"/v1/requests/{key}")
        async with asyncio.timeout(20):
            while True:
                async with context.session.get(url) as answer:
                    if (await answer.json()).get("outcome") == outcome:
                        return

    run(context, wait())


@when("the order desk is drained")
def drain_desk(context):
    async def drain() -> None:
        context.cluster.process_by_name["desk-1"].signal(signal.SIGTERM)
        entry = context.cluster.process_by_name["entry-1"]
        await entry.wait_for("event=agent-lost.*peer=desk-1")

    run(context, drain())


@then("the answer is the engine's, byte for byte")
def check_answer(context):
    assert context.answers == [(200, compute_expected_answer(context.body))]


@then("both answers are the same")
def check_same(context):
    assert context.answers[0] == context.answers[1]
    assert context.answers[0][0] == 200


@then('the last answer is refused as "{outcome}" with status {status:d}')
def check_refusal(context, outcome, status):
    found, body = context.answers[-1]
    assert (found, json.loads(body)["error"]["outcome"]) == (status, outcome)


@then('"{room}" was booked {n_times:d} time')
@then('"{room}" was booked {n_times:d} times')
def check_count(context, room, n_times):
    async def count() -> int:
        port = context.cluster.process_by_name["desk-1.service"].port
        url = f"http://127.0.0.1:{port}/executions"
        async with context.session.get(url, params={"body": room}) as answer:
            return (await answer.json())["n_executions"]

    assert run(context, count()) == n_times
