"""Decides whether a stream may continue on another path, and chooses the path.

An attempt that still might succeed is given up only once another one is certain to follow it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from lagoonwing_catalog.models import EndpointRecord
from lagoonwing_core.callback import callback
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._endpoint_client import failure_evidence
from lagoonwing_gateway._permit_pool import Permit
from lagoonwing_gateway._permit_queue import Waiter
from lagoonwing_gateway._request_log import log_path
from lagoonwing_gateway._stream_call import StreamCall
from lagoonwing_gateway.const import MIN_TIME_TO_SEND_S
from lagoonwing_gateway.models import AttemptOutcome, Failed, ResendObstacle
from lagoonwing_http import ClientConnection, ConnectError
from lagoonwing_placement import Path, PathFinder


@dataclass(frozen=True, slots=True)
class PathClaim:
    """The path of the next attempt.

    Attributes:
        permit: Permit of its first endpoint, if that is limited.
        connection: Connection to its first endpoint, if one is open.
    """

    path: Path
    permit: Permit | None = None
    connection: ClientConnection | None = None


class StreamFailover:
    """Paths and permissions for the attempts of one stream."""

    def __init__(self, components: GatewayComponents, call: StreamCall) -> None:
        self._components = components
        self._call = call
        self._reservation: PathClaim | None = None
        self._is_connecting = False

    async def async_try_reserve(self, silent_ids: Iterable[EndpointId]) -> bool:
        """Reserve another attempt that avoids endpoints; return whether there is one.

        The attempt in progress must then be given up, and `take_reservation` must be called.
        """
        if self._reservation is not None:
            return True
        if self._is_connecting or self._find_condition(may_have_run=True) is not None:
            return False
        claim = self.claim_path(silent_ids)
        if claim is None:
            return False
        connection: ClientConnection | None = None
        try:
            connection = await self._async_connect_if_allowed(claim.path)
        finally:
            # A disconnect of the caller cancels the connection attempt.
            if connection is None:
                self._components.limiter.give_back(claim.permit)
        if connection is None:
            return False
        self._reservation = replace(claim, connection=connection)
        return True

    async def _async_connect_if_allowed(self, path: Path) -> ClientConnection | None:
        """Connect to the first endpoint of a path and take one retry, or return None."""
        record = self._components.directory.record(path.segments[0].endpoint_id)
        connection = None if record is None else await self._async_connect(record)
        if connection is None:
            return None
        if self._find_condition(may_have_run=True) is None and self._acquire_budget():
            return connection
        connection.close()
        return None

    def take_reservation(self) -> PathClaim | None:
        """Return the reservation, if any; it may be used once."""
        reservation, self._reservation = self._reservation, None
        return reservation

    @callback
    def discard_reservation(self) -> None:
        """Give up an unused reservation."""
        reservation = self.take_reservation()
        if reservation is None:
            return
        self._components.limiter.give_back(reservation.permit)
        if reservation.connection is not None:
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

    @callback
    def claim_path(
        self, avoided_ids: Iterable[EndpointId] = (), waiter: Waiter | None = None
    ) -> PathClaim | None:
        """Return the best path that has capacity now, with the permit that it needs.

        Args:
            avoided_ids: Endpoints that must not be used.
            waiter: The request among those that wait for a permit, if it does.
        """
        limiter = self._components.limiter
        service_id, member_id = self._call.service.service_id, self._call.context.member_id
        path = self._find_path(avoided_ids, limiter.entry_check(service_id, member_id, waiter))
        if path is None:
            return None
        first_id = path.segments[0].endpoint_id
        return PathClaim(path, limiter.take(first_id, service_id, member_id, waiter))

    async def async_may_hand_over(self) -> bool:
        """Return whether the stream is certain to go on at another gateway, whatever runs here."""
        handover, call = self._components.handover, self._call
        service_id = call.service.service_id
        if not handover.is_due(call.context, service_id):
            return False
        if self._find_condition(may_have_run=True) is not None:
            return False
        return await handover.async_is_confirmed(service_id)

    def may_find_path(self) -> bool:
        """Return whether there would be a path if nothing else ran and nothing was suspected."""
        components, call = self._components, self._call
        groups = components.directory.holder_groups(call.service, call.engine)
        finder = PathFinder(call.engine, {}, components.rng, components.failure_domain)
        excluded, may_send = call.progress.excluded, components.directory.may_send
        path = finder.find(
            groups,
            call.size,
            lambda endpoint_id: endpoint_id not in excluded and may_send(endpoint_id),
        )
        return path is not None

    def is_held_back(self) -> bool:
        """Return whether only the limits of endpoints keep the stream from being sent."""
        if not self._components.limiter.is_active:
            return False
        return self._find_path((), lambda endpoint_id: True, is_trial=True) is not None

    def _find_path(
        self,
        avoided_ids: Iterable[EndpointId],
        may_enter: Callable[[EndpointId], bool],
        *,
        is_trial: bool = False,
    ) -> Path | None:
        """Return the best path that has capacity now and begins at an allowed endpoint."""
        components = self._components
        call = self._call
        load_by_id = components.load_tracker.loads(components.follower.load_summary().load_by_id)
        groups = components.directory.holder_groups(call.service, call.engine)
        classes = components.directory.holder_classes(call.service, call.engine)
        excluded = {*call.progress.excluded, *avoided_ids}
        is_usable = components.directory.usability_check(groups, excluded)
        backlogs = components.unreported_work.stream_backlogs(
            call.service.service_id,
            call.mean_cost,
            classes,
            components.load_tracker.local_loads(),
            is_usable,
        )
        finder = PathFinder(
            call.engine,
            load_by_id,
            components.rng,
            components.failure_domain,
            backlogs,
            {} if call.is_plain else components.pace_tracker.slowdown_by_id(),
            call.path_bounds,
        )
        checks = components.directory.entry_checks(
            call.service.service_id, call.progress.failures, may_enter
        )
        paths = (finder.find(groups, call.size, is_usable, check) for check in checks)
        path = next((path for path in paths if path is not None), None)
        if path is not None and call.is_plain:
            # An endpoint without published figures may take as long as the route allows.
            path = replace(path, first_token_ms=call.context.route.objective_s * 1_000)
        if path is not None and not is_trial:
            log_path(
                call.context,
                path,
                call.progress.send_count + 1,
                sum(len(group.endpoint_ids) for group in groups),
                components.follower.revision,
                components.follower.age(),
                components.follower.load_age(),
                components.unreported_work.requests,
                components.directory.told_suspects,
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
