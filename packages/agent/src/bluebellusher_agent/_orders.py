"""Forwarding of orders to the engine, protected by fencing tokens."""

import asyncio
import json
from collections import OrderedDict
from typing import Any

from bluebellusher_agent._http import HttpClient, NotSentError
from bluebellusher_agent._log import log
from bluebellusher_core.errors import StepError
from bluebellusher_core.wire import messages

ORDER_TIMEOUT_MS = 10_000
MAX_RECORDED_ORDERS = 256
MAX_LEASES = 1_024


class OrderForwarder:
    """Forward orders one at a time and refuse outdated fencing tokens.

    The minimum token of a lease is the highest token that was received for it, in an
    order or in a refusal of the engine. Orders are serialised because an order with a
    lower token that is in transit to the engine could otherwise arrive after one with
    a higher token, and an engine that ignores tokens would execute it last.

    Parameters
    ----------
    client : HttpClient
        Connections to the engine.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._lock = asyncio.Lock()
        self._min_token_by_lease: dict[str, int] = {}
        self._result_by_id: OrderedDict[str, Any] = OrderedDict()

    async def execute(self, order: Any) -> Any:
        """Forward an order and return its ``OrderResult``.

        A repeated order gets its recorded result and is not forwarded again.
        """
        # The minimum token is raised before waiting for the lock, so that orders with
        # lower tokens that already wait for the lock are refused.
        min_token = self._raise_min_token(order)
        if order.fencing_token < min_token:
            return self._refuse(order, min_token)
        async with self._lock:
            recorded_result = self._result_by_id.get(order.order_id)
            if recorded_result is not None:
                return recorded_result
            min_token = self._min_token_by_lease.get(order.lease_name, 0)
            if order.fencing_token < min_token:
                return self._refuse(order, min_token)
            return await self._forward(order)

    def _raise_min_token(self, order: Any) -> int:
        """Raise the minimum token of a lease to that of an order and return it.

        For a new lease above ``MAX_LEASES`` nothing is recorded, and the returned token
        is higher than that of the order, so that the order is refused.
        """
        min_token = self._min_token_by_lease.get(order.lease_name, 0)
        if min_token == 0 and len(self._min_token_by_lease) >= MAX_LEASES:
            return order.fencing_token + 1
        min_token = max(min_token, order.fencing_token)
        self._min_token_by_lease[order.lease_name] = min_token
        return min_token

    def _refuse(self, order: Any, min_token: int) -> Any:
        log("order-refused", order_id=order.order_id, token=order.fencing_token)
        reason = f"fencing_token={order.fencing_token}: expected at least {min_token}"
        return messages.OrderResult(order.order_id, False, reason, min_token)

    async def _forward(self, order: Any) -> Any:
        """Send an order to the engine and return its ``OrderResult``.

        The result is recorded unless no byte of the order was sent. Status 409 means
        that the engine has received a higher token, which the answer contains.
        """
        token = order.fencing_token
        body = {
            "order_id": order.order_id,
            "lease_name": order.lease_name,
            "fencing_token": token,
            "action": order.action,
            "arguments": order.arguments or {},
        }
        data = json.dumps(body).encode()
        try:
            status, answer = await self._client.fetch(
                "POST", "/orders", data, ORDER_TIMEOUT_MS
            )
        except NotSentError as error:
            reason = f"not sent: {error.reason}"
            return messages.OrderResult(order.order_id, False, reason, token)
        except StepError as error:
            reason = f"outcome unknown: {error.reason}"
            return self._record_result(order, False, reason, token)
        if status == 409:
            token = _read_token(answer, token)
            min_token = max(self._min_token_by_lease[order.lease_name], token)
            self._min_token_by_lease[order.lease_name] = min_token
        is_accepted = status == 200
        reason = "" if is_accepted else f"engine answered {status}"
        return self._record_result(order, is_accepted, reason, token)

    def _record_result(
        self, order: Any, is_accepted: bool, reason: str, token: int
    ) -> Any:
        """Record and return the result of an order that may have been executed."""
        result = messages.OrderResult(order.order_id, is_accepted, reason, token)
        self._result_by_id[order.order_id] = result
        if len(self._result_by_id) > MAX_RECORDED_ORDERS:
            self._result_by_id.popitem(last=False)
        return result


def _read_token(answer: bytes, default: int) -> int:
    try:
        return int(json.loads(answer)["fencing_token"])
    except (KeyError, TypeError, ValueError):
        return default
