"""Attempts that were chosen before the process was frozen."""

from bluebellusher.gateway.tests.harness import answer_sealed, run_scenario


def test_outdated_attempt_is_not_written_and_its_request_is_answered():
    """Guards against requests of a resumed entry to an endpoint that turned cold.

    The endpoint must get no byte of them, and another one serves them.
    """
    heads = []

    async def record(request, body):
        heads.append(request.path)
        return await answer_sealed(request, body)

    async def scenario(harness):
        harness.dispatcher._is_outdated = lambda endpoint_id, _: endpoint_id == "x0"
        for _ in range(8):
            response = await harness.fetch()
            assert response[0] == 200
        assert not heads
        assert harness.recorder.count("attempt-outdated")
        assert not harness.recorder.count("attempt-broken")

    run_scenario(scenario, [record, answer_sealed])
