"""One frozen data class for each kind of rule."""

from dataclasses import dataclass, field
from decimal import Decimal
from enum import StrEnum
from typing import ClassVar

from bluebellusher_core.rules._schedule import Schedule


class TokenKind(StrEnum):
    """Kinds of tokens that have their own price."""

    INPUT = "input"
    CACHED = "cached"
    OUTPUT = "output"


class ExhaustedAction(StrEnum):
    """What a customer gets when its budget ends."""

    REFUSE = "refuse"
    LOWER_PRIORITY = "lower-priority"
    CHEAPER_MODEL = "cheaper-model"


TOKENS_UNIT = "tokens"


@dataclass(frozen=True, slots=True, kw_only=True)
class Rule:
    """What every rule has; two rules are equal when all but their lines are.

    Parameters
    ----------
    author : str
        Who requested the rule.
    reason : str
        Why it was requested.
    line : int
        Line in the rules file, from 1; not part of a comparison.
    """

    KEYWORD: ClassVar[str] = ""
    author: str
    reason: str
    line: int = field(default=0, compare=False)

    def key(self) -> tuple[str, ...]:
        """Return what the rule is about; a file has one rule for each key."""
        return (self.KEYWORD,)

    def arguments(self) -> str:
        """Return the text between the keyword and the comment."""
        raise NotImplementedError

    def statement(self) -> str:
        """Return the rule without its comment."""
        return f"{self.KEYWORD} {self.arguments()}"

    def render(self) -> str:
        """Return the line that parses to this rule."""
        return f"{self.statement()} # {self.author}: {self.reason}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Currency(Rule):
    """The currency of all amounts in the file."""

    KEYWORD: ClassVar[str] = "currency"
    code: str

    def arguments(self) -> str:
        """Return the currency code."""
        return self.code


@dataclass(frozen=True, slots=True, kw_only=True)
class MonthZone(Rule):
    """The time zone in which a billing month begins and ends."""

    KEYWORD: ClassVar[str] = "month-zone"
    zone: str

    def arguments(self) -> str:
        """Return the zone name."""
        return self.zone


@dataclass(frozen=True, slots=True, kw_only=True)
class Customer(Rule):
    """Declares a customer."""

    KEYWORD: ClassVar[str] = "customer"
    customer: str

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Return the customer."""
        return self.customer


@dataclass(frozen=True, slots=True, kw_only=True)
class Model(Rule):
    """Declares a model and the service whose engines run it."""

    KEYWORD: ClassVar[str] = "model"
    model: str
    service: str

    def key(self) -> tuple[str, ...]:
        """Return keyword and model."""
        return (self.KEYWORD, self.model)

    def arguments(self) -> str:
        """Return model and service."""
        return f"{self.model} on {self.service}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity(Rule):
    """Engines of a service that exist, in one failure domain or in all."""

    KEYWORD: ClassVar[str] = "capacity"
    service: str
    n_engines: int
    domain: str | None = None

    def key(self) -> tuple[str, ...]:
        """Return keyword, service and failure domain."""
        return (self.KEYWORD, self.service, self.domain or "")

    def arguments(self) -> str:
        """Return service, count and failure domain."""
        where = f" in {self.domain}" if self.domain else ""
        return f"{self.service} {self.n_engines}{where}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Engines(Rule):
    """Engines that run for a service, always or within a schedule."""

    KEYWORD: ClassVar[str] = "engines"
    service: str
    n_engines: int
    schedule: Schedule

    def key(self) -> tuple[str, ...]:
        """Return keyword, service and schedule without the zone."""
        return (self.KEYWORD, self.service, self.schedule.render_window())

    def arguments(self) -> str:
        """Return service, count and schedule."""
        return f"{self.service} {self.n_engines} {self.schedule.render()}"


@dataclass(frozen=True, slots=True, kw_only=True)
class EnginePrice(Rule):
    """Price of one engine of a service for one hour."""

    KEYWORD: ClassVar[str] = "engine-price"
    service: str
    price: Decimal

    def key(self) -> tuple[str, ...]:
        """Return keyword and service."""
        return (self.KEYWORD, self.service)

    def arguments(self) -> str:
        """Return service and price."""
        return f"{self.service} {self.price:f} per hour"


@dataclass(frozen=True, slots=True, kw_only=True)
class TokenPrice(Rule):
    """Price of one million tokens of one kind of a model."""

    KEYWORD: ClassVar[str] = "token-price"
    model: str
    kind: TokenKind
    price: Decimal

    def key(self) -> tuple[str, ...]:
        """Return keyword, model and kind."""
        return (self.KEYWORD, self.model, self.kind)

    def arguments(self) -> str:
        """Return model, kind and price."""
        return f"{self.model} {self.kind} {self.price:f} per million"


@dataclass(frozen=True, slots=True)
class Limit:
    """An amount in a unit: the code of the currency, or ``tokens``."""

    amount: Decimal
    unit: str

    @property
    def is_tokens(self) -> bool:
        """Whether the amount counts tokens."""
        return self.unit == TOKENS_UNIT

    def render(self) -> str:
        """Return amount and unit."""
        return f"{self.amount:f} {self.unit}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget(Rule):
    """What a customer may use in a month before ``when-exhausted`` applies."""

    KEYWORD: ClassVar[str] = "budget"
    customer: str
    limit: Limit

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Return customer and limit."""
        return f"{self.customer} {self.limit.render()} per month"


@dataclass(frozen=True, slots=True, kw_only=True)
class Rate(Rule):
    """Most requests or tokens of a customer in one second or minute."""

    KEYWORD: ClassVar[str] = "rate"
    customer: str
    n_units: int
    unit: str
    period: str

    def key(self) -> tuple[str, ...]:
        """Return keyword, customer and unit."""
        return (self.KEYWORD, self.customer, self.unit)

    def arguments(self) -> str:
        """Return customer and rate."""
        return f"{self.customer} {self.n_units} {self.unit} per {self.period}"

    @property
    def period_s(self) -> int:
        """Length of the period in seconds."""
        return 60 if self.period == "minute" else 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Priority(Rule):
    """Priority of a customer's requests that name none."""

    KEYWORD: ClassVar[str] = "priority"
    customer: str
    priority: str

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Return customer and priority."""
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
        """Return customer and weight."""
        return f"{self.customer} {self.weight:f}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Load(Rule):
    """Load that a customer is expected to bring to a model or a service.

    The requests of a day are spread evenly over the hours of the schedule. Token
    counts are for each request; ``n_input`` excludes the cached ones.
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
        window = self.schedule.render()
        return (self.KEYWORD, self.customer, self.target, window)

    def arguments(self) -> str:
        """Return customer, target, counts and schedule."""
        text = f"{self.customer} {self.target} {self.n_requests} requests per day"
        if self.n_tokens:
            text += f" input {self.n_input} cached {self.n_cached}"
            text += f" output {self.n_output}"
        return f"{text} {self.schedule.render()}"

    @property
    def n_tokens(self) -> int:
        """Tokens of all kinds in one request."""
        return self.n_input + self.n_cached + self.n_output


@dataclass(frozen=True, slots=True, kw_only=True)
class Weight(Rule):
    """Weight of step-time skew or of expert moves in the balance of experts."""

    KEYWORD: ClassVar[str] = "weight"
    measure: str
    weight: Decimal

    def key(self) -> tuple[str, ...]:
        """Return keyword and measure."""
        return (self.KEYWORD, self.measure)

    def arguments(self) -> str:
        """Return measure and weight."""
        return f"{self.measure} {self.weight:f}"


@dataclass(frozen=True, slots=True, kw_only=True)
class WhenExhausted(Rule):
    """What a customer gets when its budget ends, and up to which further limit."""

    KEYWORD: ClassVar[str] = "when-exhausted"
    customer: str
    action: ExhaustedAction
    model: str | None = None
    limit: Limit | None = None

    def key(self) -> tuple[str, ...]:
        """Return keyword and customer."""
        return (self.KEYWORD, self.customer)

    def arguments(self) -> str:
        """Return customer, action and limit."""
        model = f" {self.model}" if self.model else ""
        limit = f" up to {self.limit.render()}" if self.limit else ""
        return f"{self.customer} {self.action}{model}{limit}"
