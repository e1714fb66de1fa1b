"""Parsers of statements, one function for each keyword."""

from collections.abc import Callable

from bluebellusher_core.rules._cursor import Cursor
from bluebellusher_core.rules._model import (
    TOKENS_UNIT,
    Budget,
    Capacity,
    Currency,
    Customer,
    EnginePrice,
    Engines,
    ExhaustedAction,
    Limit,
    Load,
    Model,
    MonthZone,
    Priority,
    Rate,
    Rule,
    Share,
    TokenKind,
    TokenPrice,
    Weight,
    WhenExhausted,
)
from bluebellusher_core.rules._schedule import Schedule

PRIORITIES = ("high", "normal", "low")


class _Head:
    """Field values that every rule has, whatever its keyword."""

    def __init__(self, author: str, reason: str, line: int) -> None:
        self.author = author
        self.reason = reason
        self.line = line


def parse_statement(cursor: Cursor, author: str, reason: str, line: int) -> Rule:
    """Parse one statement.

    Raises
    ------
    WordError
        If the statement has a syntax error.
    """
    keyword = cursor.word(*_PARSER_BY_KEYWORD)
    rule = _PARSER_BY_KEYWORD[keyword](cursor, _Head(author, reason, line))
    cursor.end()
    return rule


def _schedule(cursor: Cursor) -> Schedule:
    hours = None
    if cursor.skip("from"):
        begin = cursor.clock()
        cursor.word("to")
        if cursor.peek() == f"{begin // 60:02d}:{begin % 60:02d}":
            raise cursor.fail("an end time that differs from the begin time")
        hours = (begin, cursor.clock())
    weekdays, dates = cursor.days() if cursor.skip("on") else ((), ())
    return Schedule(cursor.zone(), hours, weekdays, dates)


def _limit(cursor: Cursor) -> Limit:
    amount = cursor.amount("an amount of money or tokens")
    if cursor.peek() == TOKENS_UNIT:
        if amount != amount.to_integral_value():
            raise cursor.fail("a currency code, because a token count is whole")
        return Limit(amount, cursor.take())
    return Limit(amount, cursor.currency())


def _currency(cursor: Cursor, head: _Head) -> Rule:
    return Currency(**vars(head), code=cursor.currency())


def _month_zone(cursor: Cursor, head: _Head) -> Rule:
    return MonthZone(**vars(head), zone=cursor.zone())


def _customer(cursor: Cursor, head: _Head) -> Rule:
    return Customer(**vars(head), customer=cursor.name("customer"))


def _model(cursor: Cursor, head: _Head) -> Rule:
    model = cursor.name("model")
    cursor.word("on")
    return Model(**vars(head), model=model, service=cursor.name("service"))


def _capacity(cursor: Cursor, head: _Head) -> Rule:
    service = cursor.name("service")
    n_engines = cursor.count("the number of engines that exist")
    domain = cursor.name("failure domain") if cursor.skip("in") else None
    return Capacity(**vars(head), service=service, n_engines=n_engines, domain=domain)


def _engines(cursor: Cursor, head: _Head) -> Rule:
    service = cursor.name("service")
    n_engines = cursor.count("the number of engines that run")
    schedule = _schedule(cursor)
    return Engines(
        **vars(head), service=service, n_engines=n_engines, schedule=schedule
    )


def _engine_price(cursor: Cursor, head: _Head) -> Rule:
    service = cursor.name("service")
    price = cursor.amount("the price of an engine for an hour")
    cursor.word("per")
    cursor.word("hour")
    return EnginePrice(**vars(head), service=service, price=price)


def _token_price(cursor: Cursor, head: _Head) -> Rule:
    model = cursor.name("model")
    kind = TokenKind(cursor.word(*TokenKind))
    price = cursor.amount("the price of a million tokens")
    cursor.word("per")
    cursor.word("million")
    return TokenPrice(**vars(head), model=model, kind=kind, price=price)


def _budget(cursor: Cursor, head: _Head) -> Rule:
    customer = cursor.name("customer")
    limit = _limit(cursor)
    cursor.word("per")
    cursor.word("month")
    return Budget(**vars(head), customer=customer, limit=limit)


def _rate(cursor: Cursor, head: _Head) -> Rule:
    customer = cursor.name("customer")
    n_units = cursor.count("the number of requests or tokens")
    unit = cursor.word("requests", TOKENS_UNIT)
    cursor.word("per")
    period = cursor.word("second", "minute")
    return Rate(
        **vars(head), customer=customer, n_units=n_units, unit=unit, period=period
    )


def _priority(cursor: Cursor, head: _Head) -> Rule:
    customer = cursor.name("customer")
    return Priority(**vars(head), customer=customer, priority=cursor.word(*PRIORITIES))


def _share(cursor: Cursor, head: _Head) -> Rule:
    customer = cursor.name("customer")
    # The admission queue would never serve a customer of weight 0.
    if not cursor.peek().strip("0."):
        raise cursor.fail("a weight above 0")
    weight = cursor.amount("the weight of the customer")
    return Share(**vars(head), customer=customer, weight=weight)


def _weight(cursor: Cursor, head: _Head) -> Rule:
    measure = cursor.word("skew", "moves")
    return Weight(**vars(head), measure=measure, weight=cursor.amount("a weight"))


def _load(cursor: Cursor, head: _Head) -> Rule:
    customer = cursor.name("customer")
    target = cursor.name("model or service")
    n_requests = cursor.count("the number of requests per day")
    cursor.word("requests")
    cursor.word("per")
    cursor.word("day")
    n_tokens_by_kind = dict.fromkeys(TokenKind, 0)
    for kind in TokenKind:
        if cursor.skip(kind):
            n_tokens_by_kind[kind] = cursor.count(f"{kind} tokens of one request")
    return Load(
        **vars(head),
        customer=customer,
        target=target,
        n_requests=n_requests,
        n_input=n_tokens_by_kind[TokenKind.INPUT],
        n_cached=n_tokens_by_kind[TokenKind.CACHED],
        n_output=n_tokens_by_kind[TokenKind.OUTPUT],
        schedule=_schedule(cursor),
    )


def _when_exhausted(cursor: Cursor, head: _Head) -> Rule:
    customer = cursor.name("customer")
    action = ExhaustedAction(cursor.word(*ExhaustedAction))
    model, limit = None, None
    if action is ExhaustedAction.CHEAPER_MODEL:
        model = cursor.name("model")
    if action is not ExhaustedAction.REFUSE and cursor.skip("up"):
        cursor.word("to")
        limit = _limit(cursor)
    return WhenExhausted(
        **vars(head), customer=customer, action=action, model=model, limit=limit
    )


_PARSER_BY_KEYWORD: dict[str, Callable[[Cursor, _Head], Rule]] = {
    Currency.KEYWORD: _currency,
    MonthZone.KEYWORD: _month_zone,
    Customer.KEYWORD: _customer,
    Model.KEYWORD: _model,
    Capacity.KEYWORD: _capacity,
    Engines.KEYWORD: _engines,
    EnginePrice.KEYWORD: _engine_price,
    TokenPrice.KEYWORD: _token_price,
    Budget.KEYWORD: _budget,
    Rate.KEYWORD: _rate,
    Priority.KEYWORD: _priority,
    Share.KEYWORD: _share,
    Load.KEYWORD: _load,
    Weight.KEYWORD: _weight,
    WhenExhausted.KEYWORD: _when_exhausted,
}
