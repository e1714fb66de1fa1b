"""Calls of the store client to a small HTTP server that imitates the store."""

import asyncio
import base64
import functools
import json

import pytest
from aiohttp import web

from bluebellusher.ports import RowWrite

from store import MAX_ANSWER_BYTES, MAX_IDLE_S, FleetStore


class StandInStore:
    """Stand-in of the store; ``fault`` replaces the handler of all calls."""

    def __init__(self):
        self.row_by_key = {}
        self.version = 0
        self.fault = None
        self.page_rows = 500
        self.queries = []

    async def handle(self, request):
        """Handle one call."""
        self.queries.append((request.path, dict(request.query)))
        if self.fault is not None:
            return await self.fault(request)
        if request.path == "/rows-tx":
            return await self.transact(request)
        keys = sorted(k for k in self.row_by_key if k >= request.query.get("from", ""))
        if request.path == "/rows-feed":
            since = int(request.query["since_revision"])
            rows = [r for r in self.row_by_key.values() if r["schema_version"] > since]
            return web.json_response({"rows": rows, "schema_version": self.version})
        rows = [self.row_by_key[key] for key in keys[: self.page_rows]]
        body = {"rows": rows, "has_more": len(keys) > self.page_rows}
        return web.json_response({**body, "schema_version": self.version})

    async def transact(self, request):
        """Apply a transaction with one condition and one write."""
        body = await request.json()
        (condition,), (write,) = body["expected_revision"], body["writes"]
        row = self.row_by_key.get(write["key"])
        found = row["schema_version"] if row else 0
        if found != condition["schema_version"]:
            rows = [row] if row else []
            return web.json_response({"rows": rows}, status=412)
        self.version += 1
        self.row_by_key[write["key"]] = {**write, "schema_version": self.version}
        return web.json_response({"schema_version": self.version})

    def add(self, key, **fields):
        """Add a row as if another program had written it."""
        self.version += 1
        value = base64.b64encode(b"v").decode()
        row = {"table": "op", "part": "", "key": key, "value": value}
        self.row_by_key[key] = {**row, "schema_version": self.version, **fields}


def run_scenario(scenario):
    """Run ``scenario(client, store)`` with a client that is connected to the store."""

    async def main():
        store = StandInStore()
        server = web.Server(store.handle, access_log=None)
        listener = await asyncio.get_running_loop().create_server(
            server, "127.0.0.1", 0
        )
        port = listener.sockets[0].getsockname()[1]
        client = FleetStore(f"127.0.0.1:{port}")
        try:
            async with asyncio.timeout(20):
                await scenario(client, store)
        finally:
            await client.close()
            listener.close()
            await server.shutdown(0.1)

    asyncio.run(main())


def test_written_row_is_read_back():
    """Guards against values altered by the encoding to and from JSON."""

    async def scenario(client, store):
        write = RowWrite("leases", "a", b"\x00\xff", 0)
        written = (await client.write_row(write)).ok.row
        assert (written.value, written.version) == (b"\x00\xff", 1)
        rows = (await client.read_table("leases")).ok
        assert rows.rows == (written,)
        assert rows.version == 1

    run_scenario(scenario)


def test_failed_condition_returns_the_stored_row():
    """Guards against two entries that both take a lease as theirs."""

    async def scenario(client, store):
        await client.write_row(RowWrite("leases", "a", b"first", 0))
        found = (await client.write_row(RowWrite("leases", "a", b"second", 0))).ok.row
        assert found.value == b"first"
        absent = (await client.write_row(RowWrite("leases", "b", b"x", 5))).ok.row
        assert absent.is_removed
        assert absent.version == 0

    run_scenario(scenario)


def test_own_tables_have_a_prefix():
    """Guards against writes to tables of other programs in the same store."""

    async def scenario(client, store):
        await client.read_table("op")
        await client.read_table("leases")
        tables = [query["table"] for _, query in store.queries]
        assert tables == ["op", "bluebellusher-leases"]

    run_scenario(scenario)


def test_all_pages_of_a_table_are_read_without_rows_of_other_parts():
    """Guards against missing endpoints whose rows are not on the first page."""

    async def scenario(client, store):
        store.page_rows = 2
        for key in "abcde":
            store.add(key)
        store.add("zz", part="other")
        rows = (await client.read_table("op")).ok.rows
        assert sorted(row.key for row in rows) == list("abcde")

    run_scenario(scenario)


def test_changes_mark_removed_rows():
    """Guards against endpoints that stay in use after their row was removed."""

    async def scenario(client, store):
        store.add("a")
        store.add("b", removed=True)
        changes = (await client.read_changes("op", 0, 10)).ok
        assert {row.key: row.is_removed for row in changes.rows} == {
            "a": False,
            "b": True,
        }
        assert changes.version == 2

    run_scenario(scenario)


def test_lost_history_is_distinguished_from_an_outage():
    """Guards against a table copy that is never reloaded and stays out of date."""

    async def answer_history_lost(request):
        return web.json_response({}, status=410)

    async def scenario(client, store):
        store.fault = answer_history_lost
        assert (await client.read_changes("op", 5, 10)).error.is_history_lost

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("status", "may_have_run"), [(503, False), (429, False), (500, True)]
)
def test_failed_write_reports_whether_it_may_have_run(status, may_have_run):
    """Guards against a write that took effect but is reported as not run."""

    async def answer(request):
        return web.json_response({}, status=status)

    async def scenario(client, store):
        store.fault = answer
        error = (await client.write_row(RowWrite("leases", "a", b"", 0))).error
        assert error.may_have_run is may_have_run

    run_scenario(scenario)


def test_write_with_lost_answer_may_have_run():
    """Guards against a write reported as not run because its answer was lost."""

    async def drop_connection(request):
        request.transport.abort()
        return web.Response()

    async def scenario(client, store):
        store.fault = drop_connection
        error = (await client.write_row(RowWrite("leases", "a", b"", 0))).error
        assert error.may_have_run
        assert len(store.queries) == 1
        assert not (await client.read_table("op")).is_ok()

    run_scenario(scenario)


def test_redirected_write_is_sent_once_and_may_have_run():
    """Guards against a write that a redirect sends a second time."""

    async def redirect(request):
        raise web.HTTPTemporaryRedirect("/elsewhere")

    async def scenario(client, store):
        store.fault = redirect
        error = (await client.write_row(RowWrite("leases", "a", b"", 0))).error
        assert error.may_have_run
        assert len(store.queries) == 1

    run_scenario(scenario)


def test_read_is_repeated_once_after_a_closed_connection():
    """Guards against a store that counts as lost when it closes one connection."""

    async def close_first_connection(store, request):
        if len(store.queries) == 1:
            request.transport.abort()
        return web.json_response({"rows": [], "schema_version": 1})

    async def scenario(client, store):
        store.fault = functools.partial(close_first_connection, store)
        assert (await client.read_table("leases")).is_ok()
        assert len(store.queries) == 2

    run_scenario(scenario)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"schema_version": "x"}'])
def test_malformed_answer_to_changes_is_an_error(text):
    """Guards against an exception that stops the entry on a malformed answer."""

    async def answer(request):
        return web.Response(text=text)

    async def scenario(client, store):
        store.fault = answer
        assert not (await client.read_changes("op", 0, 10)).is_ok()

    run_scenario(scenario)


MALFORMED_ROW = {"part": "", "key": "a", "schema_version": 1, "value": "?"}


@pytest.mark.parametrize(
    "body",
    [
        "[]",
        "null",
        "{",
        "{}",
        json.dumps({"schema_version": "x"}),
        json.dumps({"schema_version": 1, "rows": [{"part": "", "key": "a"}]}),
        json.dumps({"schema_version": 1, "rows": [MALFORMED_ROW]}),
        json.dumps({"schema_version": 1, "rows": ["a"]}),
    ],
)
def test_malformed_answer_to_a_read_is_an_error(body):
    """Guards against a table watcher or lease that ends on one malformed answer."""

    async def scenario(client, store):
        async def answer(request):
            return web.Response(text=body)

        store.fault = answer
        for result in (
            await client.read_table("op"),
            await client.read_changes("op", 0, 10),
        ):
            assert "malformed" in result.error.reason

    run_scenario(scenario)


@pytest.mark.parametrize(("status", "may_have_run"), [(200, True), (412, False)])
def test_malformed_answer_to_a_write_is_an_error(status, may_have_run):
    """Guards against a lease that ends, and a write wrongly reported as not run."""

    async def scenario(client, store):
        async def answer(request):
            return web.Response(status=status, text="{")

        store.fault = answer
        error = (await client.write_row(RowWrite("leases", "a", b"x", 0))).error
        assert "malformed" in error.reason
        assert error.may_have_run is may_have_run

    run_scenario(scenario)


def make_answer(text):
    """Return a handler that answers every call with a store epoch."""

    async def answer(request):
        body = {"rows": [], "schema_version": 1}
        return web.json_response(body, headers={"Store-Era": text})

    return answer


def test_store_epoch_of_each_answer_is_returned():
    """Guards against versions that are compared across a restoration of the store."""

    async def scenario(client, store):
        assert (await client.read_table("op")).ok.store_epoch == 0
        store.fault = make_answer("7")
        assert (await client.read_table("op")).ok.store_epoch == 7
        assert (await client.read_changes("op", 0, 10)).ok.store_epoch == 7
        written = (await client.write_row(RowWrite("leases", "a", b"", 0))).ok
        assert written.store_epoch == 7

    run_scenario(scenario)


@pytest.mark.parametrize("text", ["", "x", "-1", "1.5", "9" * 30, "9" * 5_000])
def test_store_epoch_that_is_no_number_is_an_error(text):
    """Guards against a reader of a table that ends on a malformed header."""

    async def scenario(client, store):
        store.fault = make_answer(text)
        for result in (
            await client.read_table("op"),
            await client.read_changes("op", 0, 10),
            await client.write_row(RowWrite("leases", "a", b"", 0)),
        ):
            assert "malformed" in result.error.reason

    run_scenario(scenario)


def test_table_restored_between_two_pages_is_an_error():
    """Guards against a copy with rows from before and after a restoration."""

    async def scenario(client, store):
        epochs = iter(("1", "2"))

        async def answer(request):
            row = {**MALFORMED_ROW, "value": ""}
            body = {"rows": [row], "schema_version": 1, "has_more": True}
            return web.json_response(body, headers={"Store-Era": next(epochs)})

        store.fault = answer
        assert "restored" in (await client.read_table("op")).error.reason

    run_scenario(scenario)


def test_endless_answer_is_an_error():
    """Guards against a faulty store whose endless answer fills the entry's memory."""

    async def scenario(client, store):
        n_sent = 0

        async def answer(request):
            nonlocal n_sent
            response = web.StreamResponse()
            await response.prepare(request)
            while True:
                await response.write(b" " * 65_536)
                n_sent += 65_536

        store.fault = answer
        result = await client.read_table("leases")
        assert result.error.reason == "ClientPayloadError"
        assert n_sent < 4 * MAX_ANSWER_BYTES

    run_scenario(scenario)


def test_call_does_not_use_an_idle_connection_that_has_become_silent():
    """Guards against changes read late because open connections went silent for good.

    Each idle connection that is used again costs one more timeout.
    """
    open_connections, silent_connections = set(), set()

    async def answer(request):
        if request.transport in silent_connections:
            await asyncio.sleep(60)
        # Concurrent calls use different connections.
        await asyncio.sleep(0.1)
        open_connections.add(request.transport)
        return web.json_response({"rows": [], "schema_version": 1})

    async def scenario(client, store):
        store.fault = answer
        await asyncio.gather(*(client.read_table(str(i)) for i in range(3)))
        silent_connections.update(open_connections)
        assert len(silent_connections) == 3
        await asyncio.sleep(MAX_IDLE_S * 1.1)
        assert (await client.read_table("op")).is_ok()

    run_scenario(scenario)


def test_call_after_an_unanswered_one_is_made_on_a_new_connection():
    """Guards against an outage assumed because idle connections have gone silent."""
    transports = []

    async def scenario(client, store):
        handle = store.handle

        async def record(request):
            store.fault = None
            transports.append(request.transport)
            answer = await handle(request)
            store.fault = record
            return answer

        async def never_answer(request):
            await asyncio.sleep(60)

        store.fault = record
        await client.read_table("op")
        store.fault = never_answer
        error = (await client.read_changes("op", 0, 10)).error
        assert error.is_unanswered
        store.fault = record
        for _ in range(2):
            await client.read_table("op")
            assert (await client.read_changes("op", 0, 0)).is_ok()
        _, second, third, fourth, fifth = transports
        assert len({id(t) for t in (second, third, fifth)}) == 3
        assert fourth not in (third, fifth)

    run_scenario(scenario)
