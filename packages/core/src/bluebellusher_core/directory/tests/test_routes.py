"""Selection of routes and services, and protection of credentials."""

from bluebellusher_core.directory import (
    Customer,
    EngineModel,
    GapObjective,
    RequestKind,
    Route,
    RoutingTable,
    Service,
)


def make_route(prefix, **options):
    """Return a route of host ``h``."""
    values = {
        "route_id": prefix,
        "host": "h",
        "path_prefix": prefix,
        "kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 800,
        "objective_ms": 400,
        "max_gap_ms": 0,
        "priority": 1,
        "n_max_attempts": 2,
        "weight_by_service": {"a": 90, "b": 10},
    }
    return Route(**{**values, **options})


def test_longest_prefix_wins():
    """Guards against requests that are routed by a less specific prefix."""
    routes = [make_route("/a/"), make_route("/a/b/"), make_route("/")]
    table = RoutingTable.from_parts(1, routes, [], None)
    assert table.match("h", "/a/b/c").route_id == "/a/b/"
    assert table.match("h", "/a/c").route_id == "/a/"
    assert table.match("h", "/ab").route_id == "/"
    assert table.match("other", "/a/") is None


def test_services_get_their_shares():
    """Guards against a traffic split that ignores the weights of the services."""
    route = make_route("/")
    chosen = [route.choose_service(i / 1000) for i in range(1000)]
    assert chosen.count("a") == 900
    assert route.choose_service(0.9999999) == "b"


def test_only_repeatable_requests_are_idempotent():
    """Guards against running a request twice that must run only once."""
    assert make_route("/").is_idempotent
    assert not make_route("/", kind=RequestKind.NON_IDEMPOTENT).is_idempotent
    assert not make_route("/", kind=RequestKind.STREAMING).is_idempotent
    resumable = make_route("/", kind=RequestKind.STREAMING, is_resumable=True)
    assert resumable.is_idempotent


def test_priorities_compete_only_for_an_engine_and_with_an_allowed_gap():
    """Guards against overload control in deployments that do not ask for it."""
    engine = EngineModel(5, 1, 5, 4.5, 2.2, 0.04, 61.4, 512, 868.0, 96.0, 0.0)
    services = [Service("a", 10, engine), Service("b", 10)]

    def find(*routes):
        table = RoutingTable.from_parts(1, routes, services, None)
        return table.find_gap_objectives()

    first = make_route("/a/", priority=0, max_gap_ms=150)
    second = make_route("/b/", priority=2, max_gap_ms=120)
    assert find(first, second) == {"a": GapObjective(engine, 120)}
    assert find(first, make_route("/b/", priority=2)) == {}
    assert find(first, make_route("/b/", priority=0, max_gap_ms=120)) == {}
    only_b = {"weight_by_service": {"b": 1}}
    assert find(first, make_route("/b/", priority=2, max_gap_ms=150, **only_b)) == {}


def test_credentials_are_not_in_representations():
    """Guards against secrets in logs and error messages."""
    customer = Customer("c", ("secret-key",))
    table = RoutingTable.from_parts(1, [], [], [customer])
    assert "secret-key" not in f"{customer!r}{table!r}"
