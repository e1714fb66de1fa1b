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


class _CommonFields:
    """Field values that every rule has, whatever its keyword."""

    def __init__(self, author: str, reason: str, line: int) -> None:
        self.author = author
        self.reason = reason
        self.line = line


def parse_statement(cursor: Cursor, author: str, reason: str, line: int) -> Rule:
    """Parse one statement.

    Raises
    ------
    LineSyntaxError
        If the statement has a syntax error.
    """
    keyword = cursor.expect(*_PARSER_BY_KEYWORD)
    rule = _PARSER_BY_KEYWORD[keyword](cursor, _CommonFields(author, reason, line))
    cursor.expect_end()
    return rule


def _parse_schedule(cursor: Cursor) -> Schedule:
    time_range = None
    if cursor.accept("from"):
        begin = cursor.read_time_of_day()
        cursor.expect("to")
        if cursor.peek() == f"{begin // 60:02d}:{begin % 60:02d}":
            raise cursor.make_error("an end time that differs from the begin time")
        time_range = (begin, cursor.read_time_of_day())
    weekdays, dates = cursor.read_days() if cursor.accept("on") else ((), ())
    return Schedule(cursor.read_time_zone(), time_range, weekdays, dates)


def _parse_limit(cursor: Cursor) -> Limit:
    amount = cursor.read_amount("an amount of money or tokens")
    if cursor.peek() == TOKENS_UNIT:
        if amount != amount.to_integral_value():
            raise cursor.make_error("a currency code, because a token count is whole")
        return Limit(amount, cursor.advance())
    return Limit(amount, cursor.read_currency())


def _parse_currency(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    return Currency(**vars(common_fields), code=cursor.read_currency())


def _parse_month_zone(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    return MonthZone(**vars(common_fields), zone=cursor.read_time_zone())


def _parse_customer(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    return Customer(**vars(common_fields), customer=cursor.read_name("customer"))


def _parse_model(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    model = cursor.read_name("model")
    cursor.expect("on")
    return Model(
        **vars(common_fields), model=model, service=cursor.read_name("service")
    )


def _parse_capacity(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    service = cursor.read_name("service")
    n_engines = cursor.read_count("the number of engines that exist")
    domain = cursor.read_name("failure domain") if cursor.accept("in") else None
    return Capacity(
        **vars(common_fields), service=service, n_engines=n_engines, domain=domain
    )


def _parse_engines(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    service = cursor.read_name("service")
    n_engines = cursor.read_count("the number of engines that run")
    schedule = _parse_schedule(cursor)
    return Engines(
        **vars(common_fields), service=service, n_engines=n_engines, schedule=schedule
    )


def _parse_engine_price(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    service = cursor.read_name("service")
    price = cursor.read_amount("the price of an engine for an hour")
    cursor.expect("per")
    cursor.expect("hour")
    return EnginePrice(**vars(common_fields), service=service, price=price)


def _parse_token_price(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    model = cursor.read_name("model")
    kind = TokenKind(cursor.expect(*TokenKind))
    price = cursor.read_amount("the price of a million tokens")
    cursor.expect("per")
    cursor.expect("million")
    return TokenPrice(**vars(common_fields), model=model, kind=kind, price=price)


def _parse_budget(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    customer = cursor.read_name("customer")
    limit = _parse_limit(cursor)
    cursor.expect("per")
    cursor.expect("month")
    return Budget(**vars(common_fields), customer=customer, limit=limit)


def _parse_rate(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    customer = cursor.read_name("customer")
    n_units = cursor.read_count("the number of requests or tokens")
    unit = cursor.expect("requests", TOKENS_UNIT)
    cursor.expect("per")
    period = cursor.expect("second", "minute")
    return Rate(
        **vars(common_fields),
        customer=customer,
        n_units=n_units,
        unit=unit,
        period=period,
    )


def _parse_priority(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    customer = cursor.read_name("customer")
    return Priority(
        **vars(common_fields), customer=customer, priority=cursor.expect(*PRIORITIES)
    )


def _parse_share(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    customer = cursor.read_name("customer")
    # A customer of weight 0 would wait forever in the admission queue, which refuses
    # such a weight.
    if not cursor.peek().strip("0."):
        raise cursor.make_error("a weight above 0")
    weight = cursor.read_amount("the weight of the customer")
    return Share(**vars(common_fields), customer=customer, weight=weight)


def _parse_weight(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    measure = cursor.expect("skew", "moves")
    return Weight(
        **vars(common_fields), measure=measure, weight=cursor.read_amount("a weight")
    )


def _parse_load(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    customer = cursor.read_name("customer")
    target = cursor.read_name("model or service")
    n_requests = cursor.read_count("the number of requests per day")
    cursor.expect("requests")
    cursor.expect("per")
    cursor.expect("day")
    n_tokens_by_kind = dict.fromkeys(TokenKind, 0)
    for kind in TokenKind:
        if cursor.accept(kind):
            n_tokens_by_kind[kind] = cursor.read_count(f"{kind} tokens of one request")
    return Load(
        **vars(common_fields),
        customer=customer,
        target=target,
        n_requests=n_requests,
        n_input=n_tokens_by_kind[TokenKind.INPUT],
        n_cached=n_tokens_by_kind[TokenKind.CACHED],
        n_output=n_tokens_by_kind[TokenKind.OUTPUT],
        schedule=_parse_schedule(cursor),
    )


def _parse_when_exhausted(cursor: Cursor, common_fields: _CommonFields) -> Rule:
    customer = cursor.read_name("customer")
    action = ExhaustedAction(cursor.expect(*ExhaustedAction))
    model, limit = None, None
    if action is ExhaustedAction.CHEAPER_MODEL:
        model = cursor.read_name("model")
    if action is not ExhaustedAction.REFUSE and cursor.accept("up"):
        cursor.expect("to")
        limit = _parse_limit(cursor)
    return WhenExhausted(
        **vars(common_fields),
        customer=customer,
        action=action,
        model=model,
        limit=limit,
    )


_PARSER_BY_KEYWORD: dict[str, Callable[[Cursor, _CommonFields], Rule]] = {
    Currency.KEYWORD: _parse_currency,
    MonthZone.KEYWORD: _parse_month_zone,
    Customer.KEYWORD: _parse_customer,
    Model.KEYWORD: _parse_model,
    Capacity.KEYWORD: _parse_capacity,
    Engines.KEYWORD: _parse_engines,
    EnginePrice.KEYWORD: _parse_engine_price,
    TokenPrice.KEYWORD: _parse_token_price,
    Budget.KEYWORD: _parse_budget,
    Rate.KEYWORD: _parse_rate,
    Priority.KEYWORD: _parse_priority,
    Share.KEYWORD: _parse_share,
    Load.KEYWORD: _parse_load,
    Weight.KEYWORD: _parse_weight,
    WhenExhausted.KEYWORD: _parse_when_exhausted,
}
