"""Steps of the scenarios in main_path.feature, run against real processes."""

import asyncio
import json
import signal

from behave import given, step, then, when

from bluebellusher_standins.engine import compute_expected_answer


def run_in_loop(context, coroutine):
    """Run a coroutine in the event loop of the scenario and return its result."""
    return context.loop.run_until_complete(coroutine)


def make_entry_url(context, number: int, path: str) -> str:
    """Return the URL of a path on the entry with the given number, from 1."""
    port = context.cluster.process_by_name[f"entry-{number}"].port
    return f"http://127.0.0.1:{port}{path}"


async def post_to_entry(
    context, number: int, path: str, body: bytes, headers=None
) -> None:
    """Send a POST request to an entry and append its status and body to the answers."""
    url = make_entry_url(context, number, path)
    async with context.session.post(url, data=body, headers=headers) as answer:
        context.answers.append((answer.status, await answer.read()))


@given("a platform, an engine, an order desk and 2 entries")
def start_deployment(context):
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

    run_in_loop(context, start())


def make_model_body(n_tokens: int) -> bytes:
    """Return the JSON body of a streaming request for at most ``n_tokens`` tokens."""
    body = {"model": "model-a", "messages": [], "stream": True}
    return json.dumps({**body, "max_tokens": n_tokens}).encode()


@when("a caller asks for {n_tokens:d} tokens as a stream")
def request_stream(context, n_tokens):
    context.body = make_model_body(n_tokens)
    run_in_loop(
        context, post_to_entry(context, 1, "/v1/chat/completions", context.body)
    )


@when("a caller asks for {n_tokens:d} tokens with a wrong credential")
def request_with_wrong_credential(context, n_tokens):
    headers = {"Authorization": "Bearer wrong"}
    body = make_model_body(n_tokens)
    run_in_loop(
        context, post_to_entry(context, 1, "/v1/chat/completions", body, headers)
    )


@when('a caller books "{room}" with key "{key}" at entry {number:d}')
def book(context, room, key, number):
    path = "/services/order-desk/bookings"
    headers = {"Idempotency-Key": key}
    run_in_loop(context, post_to_entry(context, number, path, room.encode(), headers))


@step('the outcome of key "{key}" is "{outcome}"')
def wait_for_outcome(context, key, outcome):
    async def wait() -> None:
        url = make_entry_url(context, 1, f"/v1/requests/{key}")
        async with asyncio.timeout(20):
            while True:
                async with context.session.get(url) as answer:
                    if (await answer.json()).get("outcome") == outcome:
                        return

    run_in_loop(context, wait())


@when("the order desk is drained")
def drain_desk(context):
    async def drain() -> None:
        context.cluster.process_by_name["desk-1"].signal(signal.SIGTERM)
        entry = context.cluster.process_by_name["entry-1"]
        await entry.wait_for("event=agent-lost.*peer=desk-1")

    run_in_loop(context, drain())


@then("the caller receives exactly the bytes of the engine's answer")
def check_answer(context):
    assert context.answers == [(200, compute_expected_answer(context.body))]


@then("both answers are the same")
def check_same_answers(context):
    assert context.answers[0] == context.answers[1]
    assert context.answers[0][0] == 200


@then('the last request is rejected as "{outcome}" with status {status:d}')
def check_rejection(context, outcome, status):
    actual_status, body = context.answers[-1]
    assert (actual_status, json.loads(body)["error"]["outcome"]) == (status, outcome)


@then('"{room}" was booked {n_times:d} time')
@then('"{room}" was booked {n_times:d} times')
def check_n_bookings(context, room, n_times):
    async def count() -> int:
        port = context.cluster.process_by_name["desk-1.service"].port
        url = f"http://127.0.0.1:{port}/executions"
        async with context.session.get(url, params={"body": room}) as answer:
            return (await answer.json())["n_executions"]

    assert run_in_loop(context, count()) == n_times
