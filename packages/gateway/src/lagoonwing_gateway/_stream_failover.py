"""Decides whether a stream may continue on another path, and chooses the path.

An attempt that still might succeed is given up only once another one is certain to follow it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._endpoint_client import failure_evidence
from lagoonwing_gateway._request_log import log_path
from lagoonwing_gateway._stream_call import StreamCall
from lagoonwing_gateway.const import MIN_TIME_TO_SEND_S
from lagoonwing_gateway.models import AttemptOutcome, Failed, ResendObstacle
from lagoonwing_http import ClientConnection, ConnectError
from lagoonwing_placement import Path, PathFinder


@dataclass(frozen=True, slots=True)
class Reservation:
    """The next attempt of a stream: its path, and a connection to the first endpoint."""

    path: Path
    connection: ClientConnection


class StreamFailover:
    """Paths and permissions for the attempts of one stream."""

    def __init__(self, components: GatewayComponents, call: StreamCall) -> None:
        self._components = components
        self._call = call
        self._reservation: Reservation | None = None
        self._is_connecting = False

    async def async_try_reserve(self, silent_ids: Iterable[EndpointId]) -> bool:
        """Reserve another attempt that avoids endpoints; return whether there is one.

        The attempt in progress must then be given up, and `take_reservation` must be called.
        """
        if self._reservation is not None:
            return True
        if self._is_connecting or self._find_condition(may_have_run=True) is not None:
            return False
        path = self.find_path(silent_ids)
        if path is None:
            return False
        record = self._components.directory.record(path.segments[0].endpoint_id)
        if record is None:
            return False
        connection = await self._async_connect(record)
        if connection is None:
            return False
        is_allowed = self._find_condition(may_have_run=True) is None and self._acquire_budget()
        if not is_allowed:
            connection.close()
            return False
        self._reservation = Reservation(path, connection)
        return True

    def take_reservation(self) -> Reservation | None:
        """Return the reservation, if any; it may be used once."""
        reservation, self._reservation = self._reservation, None
        return reservation

    @callback
    def discard_reservation(self) -> None:
        """Close the connection of an unused reservation."""
        reservation = self.take_reservation()
        if reservation is not None:
            reservation.connection.close()

    async def _async_connect(self, record: EndpointRecord) -> ClientConnection | None:
        """Open a connection to an endpoint; return None if it can't be reached."""
        self._is_connecting = True
        try:
            return await self._components.endpoint_client.async_connect(record, fresh=True)
        except ConnectError as error:
            self._components.suspicions.record_failure(
                record.endpoint_id, str(error), failure_evidence(error)
            )
            return None
        finally:
            self._is_connecting = False

    def find_obstacle(self, last_outcome: AttemptOutcome) -> ResendObstacle | None:
        """Return why the stream may not be sent again; if it may, take one retry of the budget."""
        if self._call.progress.send_count == 0:
            return None
        obstacle = self._find_condition(may_have_run=isinstance(last_outcome, Failed))
        if obstacle is not None:
            return obstacle
        return None if self._acquire_budget() else ResendObstacle.RETRY_BUDGET

    def find_path(self, avoided_ids: Iterable[EndpointId] = ()) -> Path | None:
        """Return the best path that has capacity now."""
        components = self._components
        call = self._call
        load_by_id = components.load_tracker.loads(components.follower.load_summary().load_by_id)
        groups = components.directory.holder_groups(call.service, call.engine)
        backlogs = components.backlog_estimator.backlogs()
        finder = PathFinder(
            call.engine, load_by_id, components.rng, components.failure_domain, backlogs
        )
        excluded = {*call.progress.excluded, *avoided_ids}
        path = finder.find(groups, call.size, components.directory.usability_check(excluded))
        if path is not None:
            log_path(
                call.context,
                path,
                call.progress.send_count + 1,
                sum(len(group.endpoint_ids) for group in groups),
                components.follower.revision,
                components.follower.age(),
            )
        return path

    def _find_condition(self, *, may_have_run: bool) -> ResendObstacle | None:
        """Return the condition that forbids another attempt, apart from the retry budget."""
        components = self._components
        context = self._call.context
        if not components.crash_tracker.may_send_again(context):
            return ResendObstacle.QUARANTINED
        if may_have_run and not context.route.is_resumable:
            return ResendObstacle.NOT_RESUMABLE
        if may_have_run and self._call.progress.send_count >= context.route.max_attempts:
            return ResendObstacle.MAX_ATTEMPTS
        if context.deadline - components.clock.now() < MIN_TIME_TO_SEND_S:
            return ResendObstacle.DEADLINE
        return None

    def _acquire_budget(self) -> bool:
        """Take one retry of the shared budget; return whether it allows one."""
        components = self._components
        service_id = self._call.service.service_id
        return components.budget.try_acquire(service_id, components.follower.gateways)
