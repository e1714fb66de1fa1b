"""Translation of the HTTP headers of callers and engines."""

import pytest
from multidict import CIMultiDict

from bluebellusher.ports import AttemptFields

from dialect import PlatformDialect

ATTEMPT_FIELDS = AttemptFields("i-1", 900, "hule930", "12", 1)


def test_caller_headers_are_read_in_any_case():
    """Guards against requests denied because of the case of a header name."""
    headers = CIMultiDict(
        {
            "x-bluebellusher-attempt-id": "9c41",
            "X-Bluebellusher-Credential": "key",
            "x-bluebellusher-deadline-ms": "8050",
            "X-Bluebellusher-Token-Count": "1460,80",
            "Last-Event-Id": "12",
        }
    )
    fields = PlatformDialect().read_caller(headers)
    assert fields.attempt_id == "9c41"
    assert fields.credential == "key"
    assert fields.remaining_ms == 8050
    assert (fields.n_input_tokens, fields.n_max_output_tokens) == (1460, 80)
    assert fields.last_event_id == "12"


@pytest.mark.parametrize(
    ("prefix", "part_ids"),
    [
        ("5c1e07a2:800,91BD3F06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("5c1e07a2:40, e4402b7d:250", ("5c1e07a2",)),
        ("e4402b7d:250", ()),
        ("", ()),
        ("5c1e07a2,e4402b7d:250", ()),
        (":40,e4402b7d:250", ()),
        ("a b:40,e4402b7d:250", ()),
        ("a" * 65 + ":40,e4402b7d:250", ()),
        ("5c1e07a2:x,e4402b7d:250", ()),
    ],
)
def test_shared_parts_of_a_prompt_are_all_but_the_last(prefix, part_ids):
    """Guards against a block of a request's own part, and against forged log fields."""
    headers = CIMultiDict({"X-Bluebellusher-Prompt-Prefix": prefix})
    assert PlatformDialect().read_caller(headers).shared_part_ids == part_ids


def test_prompt_with_many_parts_has_a_bounded_number_of_ids():
    """Guards against a header that makes the entry count thousands of parts."""
    prefix = ",".join(f"{number:x}:1" for number in range(5_000))
    headers = CIMultiDict({"X-Bluebellusher-Prompt-Prefix": prefix})
    assert len(PlatformDialect().read_caller(headers).shared_part_ids) < 64


def test_malformed_deadline_is_an_error():
    """Guards against a request without a time limit because of a malformed deadline."""
    headers = CIMultiDict({"X-Bluebellusher-Deadline-Ms": "soon"})
    with pytest.raises(ValueError, match=r"Deadline-Ms: found 'soon'"):
        PlatformDialect().read_caller(headers)


def test_attempt_has_the_headers_of_the_entry_and_no_credential():
    """Guards against leaked credentials, forged customers and request smuggling."""
    headers = [
        ("Host", "h.example"),
        ("Connection", "keep-alive, X-Once"),
        ("X-Once", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "5"),
        ("X-Bluebellusher-Credential", "key"),
        ("X-Bluebellusher-Tenant", "forged"),
        ("X-Bluebellusher-Deadline-Ms", "99999"),
        ("X-Bluebellusher-Expect-Instance", "forged"),
        ("Last-Event-Id", "3"),
        ("X-Bluebellusher-Model", "m"),
        ("X-Bluebellusher-Prompt-Prefix", "5c1e07a2:800"),
        ("X-Other", "kept"),
    ]
    attempt_headers = PlatformDialect().write_attempt(headers, ATTEMPT_FIELDS)
    names = [name for name, _ in attempt_headers]
    assert len(names) == len(set(names))
    by_name = dict(attempt_headers)
    assert by_name == {
        "Host": "h.example",
        "X-Bluebellusher-Model": "m",
        "X-Bluebellusher-Prompt-Prefix": "5c1e07a2:800",
        "X-Other": "kept",
        "X-Bluebellusher-Deadline-Ms": "900",
        "X-Bluebellusher-Expect-Instance": "i-1",
        "X-Bluebellusher-Request-Priority": "1",
        "X-Bluebellusher-Tenant": "hule930",
        "Last-Event-Id": "12",
    }


def test_anonymous_attempt_names_no_customer():
    """Guards against an anonymous caller that sets the customer by a header."""
    fields = AttemptFields("i-1", 900, "", "", 0)
    headers = [("X-Bluebellusher-Tenant", "forged")]
    names = dict(PlatformDialect().write_attempt(headers, fields))
    assert "X-Bluebellusher-Tenant" not in names


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (503, {"X-Bluebellusher-Not-Executed": "1"}, (True, False, False)),
        (421, {}, (False, True, False)),
        (200, {"X-Bluebellusher-Response-Seal": "s"}, (False, False, True)),
        (200, {}, (False, False, False)),
        (
            200,
            {"X-Bluebellusher-Response-Seal": "s", "Content-Encoding": "gzip"},
            (False, False, False),
        ),
    ],
)
def test_answer_kinds_are_distinguished(status, headers, expected):
    """Guards against an answer wrongly taken as proof that the request did not run."""
    fields = PlatformDialect().read_answer(status, CIMultiDict(headers))
    assert (
        fields.is_not_run,
        fields.is_wrong_endpoint,
        fields.is_authentic,
    ) == expected


@pytest.mark.parametrize(
    ("status", "value", "pause_ms"),
    [
        (503, "1", 1_000),
        (503, "0.25", 250),
        (503, " 2 ", 2_000),
        (503, "1e9", 10**12),
        (503, "0", 0),
        (503, "-3", 0),
        (503, "inf", 0),
        (503, "nan", 0),
        (503, "soon", 0),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", 0),
        (200, "5", 0),
        (429, "5", 0),
    ],
)
def test_pause_is_read_from_refusals_only(status, value, pause_ms):
    """Guards against pauses from invalid values and from answers other than 503."""
    headers = CIMultiDict({"retry-after": value})
    assert PlatformDialect().read_answer(status, headers).pause_ms == pause_ms


@pytest.mark.parametrize(
    ("name", "value", "is_leaving"),
    [
        ("Server-Leaving", "1", True),
        ("server-leaving", " 1", True),
        ("Server-Leaving", "0", False),
        ("Server-Leaving", "", False),
    ],
)
def test_leaving_is_read_from_any_answer(name, value, is_leaving):
    """Guards against new requests to an engine that announced its shutdown."""
    for status in (200, 421, 500, 503):
        headers = CIMultiDict({name: value})
        assert PlatformDialect().read_answer(status, headers).is_leaving is is_leaving


@pytest.mark.parametrize(
    ("value", "limit"),
    [("1.2", 1.2), ("0", 0.0), ("", None), ("-1", None), ("inf", None), ("x", None)],
)
def test_limit_is_read_from_any_answer(value, limit):
    """Guards against limits from invalid values, and limits in refusals ignored."""
    for status in (200, 500, 503):
        fields = PlatformDialect().read_answer(status, {"Server-Limit": value})
        assert fields.max_requests_per_s == limit


@pytest.mark.parametrize(
    ("value", "remaining_ms"),
    [("900", 900), ("0.5", 1), ("0", 0), ("", 0), ("-1", 0), ("inf", 0), ("x", 0)],
)
def test_remaining_warm_up_is_read_from_any_answer(value, remaining_ms):
    """Guards against invalid values, and against cold engines that refuse requests."""
    headers = {"X-Bluebellusher-Cold-Ms": value}
    for status in (200, 503):
        fields = PlatformDialect().read_answer(status, headers)
        assert fields.warm_up_remaining_ms == remaining_ms
