"""Decides whether a stream may continue on another path, and chooses the path.

An attempt that still might succeed is given up only once another one is certain to follow it.
"""

from __future__ import annotations

from collections.abc import Iterable

from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway._components import GatewayComponents
from lagoonwing_gateway._request_log import log_path
from lagoonwing_gateway._stream_call import StreamCall
from lagoonwing_gateway.const import MIN_TIME_TO_SEND_S
from lagoonwing_gateway.models import AttemptOutcome, Failed, ResendObstacle
from lagoonwing_placement import Path, PathFinder


class StreamFailover:
    """Paths and permissions for the attempts of one stream."""

    def __init__(self, components: GatewayComponents, call: StreamCall) -> None:
        self._components = components
        self._call = call
        self._reserved_path: Path | None = None

    def try_reserve(self, silent_ids: Iterable[EndpointId]) -> bool:
        """Reserve another attempt that avoids endpoints; return whether there is one.

        The attempt in progress must then be given up, and `take_reserved_path` must be called.
        """
        if self._reserved_path is not None:
            return True
        if self._find_condition(may_have_run=True) is not None:
            return False
        path = self.find_path(silent_ids)
        if path is None or not self._acquire_budget():
            return False
        self._reserved_path = path
        return True

    def take_reserved_path(self) -> Path | None:
        """Return the reserved path, if any; it may be used once."""
        path, self._reserved_path = self._reserved_path, None
        return path

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
