"""Frozen data classes, one for each keyword of the rules file."""

from dataclasses import dataclass, field
from decimal import Decimal
from enum import StrEnum
from typing import ClassVar

from bluebellusher_core.rules._schedule import Schedule


class TokenKind(StrEnum):
    """Kind of token; each kind has a price of its own."""

    INPUT = "input"
    CACHED = "cached"
    OUTPUT = "output"


class ExhaustedAction(StrEnum):
    """Treatment of a customer's requests after its budget is exhausted."""

    REFUSE = "refuse"
    LOWER_PRIORITY = "lower-priority"
    CHEAPER_MODEL = "cheaper-model"


TOKENS_UNIT = "tokens"


@dataclass(frozen=True, slots=True, kw_only=True)
class Rule:
    """Base class of all rules.

    Two rules are equal if all their fields except ``line`` are equal.

    Parameters
    ----------
    author : str
        Name of the person who requested the rule.
    reason : str
        Reason for the request.
    line : int
        Line number in the rules file, from 1; ignored in comparisons. 0 means that
        the rule was not read from a file.
    """

    KEYWORD: ClassVar[str] = ""
    author: str
    reason: str
    line: int = field(default=0, compare=False)

    def key(self) -> tuple[str, ...]:
        """Return the key of the rule, which is unique in a rules file."""
        return (self.KEYWORD,)

    def arguments(self) -> str:
        """Render the text between the keyword and the comment."""
        raise NotImplementedError

    def statement(self) -> str:
        """Render the rule without its comment."""
        return f"{self.KEYWORD} {self.arguments()}"

    def render(self) -> str:
        """Render the rule as a line that parses to an equal rule."""
        return f"{self.statement()} # {self.author}: {self.reason}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Currency(Rule):
    """Currency of all amounts of money in the file."""

    KEYWORD: ClassVar[str] = "currency"
    code: str

    def arguments(self) -> str:
        """Render the currency code."""
        return self.code


@dataclass(frozen=True, slots=True, kw_only=True)
class MonthZone(Rule):
    """Time zone in which billing months begin and end."""

    KEYWORD: ClassVar[str] = "month-zone"
    zone: str

    def arguments(self) -> str:
        """Render the name of the time zone."""
        return self.zone


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer(Rule):
    """Declaration of a customer."""

    KEYWORD: ClassVar[str] = "customer"
    customer: str

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Render the customer."""
        return self.customer


@dataclass(frozen=True, slots=True, kw_only=True)
class Model(Rule):
    """Declaration of a model and of the service whose engines run it."""

    KEYWORD: ClassVar[str] = "model"
    model: str
    service: str

    def key(self) -> tuple[str, ...]:
        """Return keyword and model."""
        return (self.KEYWORD, self.model)

    def arguments(self) -> str:
        """Render model and service."""
        return f"{self.model} on {self.service}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity(Rule):
    """Number of existing engines of a service, in one failure domain or in total."""

    KEYWORD: ClassVar[str] = "capacity"
    service: str
    n_engines: int
    domain: str | None = None

    def key(self) -> tuple[str, ...]:
        """Return keyword, service and failure domain."""
        return (self.KEYWORD, self.service, self.domain or "")

    def arguments(self) -> str:
        """Render service, number of engines and failure domain."""
        domain = f" in {self.domain}" if self.domain else ""
        return f"{self.service} {self.n_engines}{domain}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Engines(Rule):
    """Number of engines that run for a service, always or within a schedule."""

    KEYWORD: ClassVar[str] = "engines"
    service: str
    n_engines: int
    schedule: Schedule

    def key(self) -> tuple[str, ...]:
        """Return keyword, service and schedule without the zone.

        The zone is left out because all engine rules of a service have one zone.
        """
        return (self.KEYWORD, self.service, self.schedule.render_window())

    def arguments(self) -> str:
        """Render service, number of engines and schedule."""
        return f"{self.service} {self.n_engines} {self.schedule.render()}"


@dataclass(frozen=True, slots=True, kw_only=True)
class EnginePrice(Rule):
    """Price of one engine of a service per hour."""

    KEYWORD: ClassVar[str] = "engine-price"
    service: str
    price: Decimal

    def key(self) -> tuple[str, ...]:
        """Return keyword and service."""
        return (self.KEYWORD, self.service)

    def arguments(self) -> str:
        """Render service and price."""
        return f"{self.service} {self.price:f} per hour"


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenPrice(Rule):
    """Price of one million tokens of one kind on a model."""

    KEYWORD: ClassVar[str] = "token-price"
    model: str
    kind: TokenKind
    price: Decimal

    def key(self) -> tuple[str, ...]:
        """Return keyword, model and kind."""
        return (self.KEYWORD, self.model, self.kind)

    def arguments(self) -> str:
        """Render model, kind and price."""
        return f"{self.model} {self.kind} {self.price:f} per million"


@dataclass(frozen=True, slots=True)
class Limit:
    """Amount of money or tokens.

    Parameters
    ----------
    amount : Decimal
        The amount; a whole number if it counts tokens.
    unit : str
        Code of the currency, or ``tokens``.
    """

    amount: Decimal
    unit: str

    @property
    def is_tokens(self) -> bool:
        """Whether the amount counts tokens."""
        return self.unit == TOKENS_UNIT

    def render(self) -> str:
        """Render amount and unit."""
        return f"{self.amount:f} {self.unit}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget(Rule):
    """Amount that a customer may use in a month before ``when-exhausted`` applies."""

    KEYWORD: ClassVar[str] = "budget"
    customer: str
    limit: Limit

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Render customer and limit."""
        return f"{self.customer} {self.limit.render()} per month"


@dataclass(frozen=True, slots=True, kw_only=True)
class Rate(Rule):
    """Maximum number of requests or tokens of a customer per second or minute."""

    KEYWORD: ClassVar[str] = "rate"
    customer: str
    n_units: int
    unit: str
    period: str

    def key(self) -> tuple[str, ...]:
        """Return keyword, customer and unit."""
        return (self.KEYWORD, self.customer, self.unit)

    def arguments(self) -> str:
        """Render customer and rate."""
        return f"{self.customer} {self.n_units} {self.unit} per {self.period}"

    @property
    def period_s(self) -> int:
        """Length of the period in seconds."""
        return 60 if self.period == "minute" else 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Priority(Rule):
    """Priority of those requests of a customer that set no priority themselves."""

    KEYWORD: ClassVar[str] = "priority"
    customer: str
    priority: str

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Render customer and priority."""
        return f"{self.customer} {self.priority}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Share(Rule):
    """Weight of a customer in the admission queue."""

    KEYWORD: ClassVar[str] = "share"
    customer: str
    weight: Decimal

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Render customer and weight."""
        return f"{self.customer} {self.weight:f}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Load(Rule):
    """Expected load of a customer on a model or a plain service.

    ``n_requests`` is the number of requests per day; they are spread evenly over the
    daily window of the schedule. Token counts are per request; ``n_input`` excludes
    the cached tokens.
    """

    KEYWORD: ClassVar[str] = "load"
    customer: str
    target: str
    n_requests: int
    n_input: int
    n_cached: int
    n_output: int
    schedule: Schedule

    def key(self) -> tuple[str, ...]:
        """Return keyword, customer, target and schedule."""
        schedule = self.schedule.render()
        return (self.KEYWORD, self.customer, self.target, schedule)

    def arguments(self) -> str:
        """Render customer, target, counts and schedule."""
        text = f"{self.customer} {self.target} {self.n_requests} requests per day"
        if self.n_tokens:
            text += f" input {self.n_input} cached {self.n_cached}"
            text += f" output {self.n_output}"
        return f"{text} {self.schedule.render()}"

    @property
    def n_tokens(self) -> int:
        """Number of tokens of all kinds in one request."""
        return self.n_input + self.n_cached + self.n_output


@dataclass(frozen=True, slots=True, kw_only=True)
class Weight(Rule):
    """Weight of step-time skew or of expert moves in the balancing of experts."""

    KEYWORD: ClassVar[str] = "weight"
    measure: str
    weight: Decimal

    def key(self) -> tuple[str, ...]:
        """Return keyword and measure."""
        return (self.KEYWORD, self.measure)

    def arguments(self) -> str:
        """Render measure and weight."""
        return f"{self.measure} {self.weight:f}"


@dataclass(frozen=True, slots=True, kw_only=True)
class WhenExhausted(Rule):
    """Action for a customer whose budget is exhausted.

    ``limit`` bounds the spending after the budget. It is ``None`` for ``refuse``, and
    for the other actions if only the customer's token rate bounds the spending.
    """

    KEYWORD: ClassVar[str] = "when-exhausted"
    customer: str
    action: ExhaustedAction
    model: str | None = None
    limit: Limit | None = None

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Render customer, action, model and limit."""
        model = f" {self.model}" if self.model else ""
        limit = f" up to {self.limit.render()}" if self.limit else ""
        return f"{self.customer} {self.action}{model}{limit}"
