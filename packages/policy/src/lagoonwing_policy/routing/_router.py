"""Router of one entry host: endpoint table, load and cache hints, and route selection."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import replace

from expression import Error, Ok, Result

from lagoonwing_core.errors import Refusal
from lagoonwing_core.ids import EndpointId
from lagoonwing_core.models import EndpointRecord, PlannedStop
from lagoonwing_policy._protocols import NoFreeSlot, RouteFailure
from lagoonwing_policy.models import (
    AttemptFailed,
    AttemptResult,
    AttemptSucceeded,
    EndpointLoad,
    RequestProfile,
    Route,
    RouteReason,
    RouteStage,
)
from lagoonwing_policy.routing import errors
from lagoonwing_policy.routing._affinity import PreferenceTable, PrefixTable
from lagoonwing_policy.routing._chain_policy import ChainPolicy
from lagoonwing_policy.routing._context import RoutingContext, RoutingRules
from lagoonwing_policy.routing._ejection import EjectionSystem
from lagoonwing_policy.routing._endpoints import UsableEndpoints
from lagoonwing_policy.routing._failed_domains import FailedDomainTable
from lagoonwing_policy.routing._links import LinkTable
from lagoonwing_policy.routing._load import LoadEstimator, LoadsByEndpoint
from lagoonwing_policy.routing._pool_table import PoolTable
from lagoonwing_policy.routing._pools import Candidate, RoutePool, pool_key_of
from lagoonwing_policy.routing._quotas import QuotaTable
from lagoonwing_policy.routing._round_robin import RoundRobinChooser
from lagoonwing_policy.routing._stages import ChainChooser
from lagoonwing_policy.routing._suspect_routes import SuspectRoutes
from lagoonwing_policy.routing._suspects import SuspectSource
from lagoonwing_policy.routing._whole import WholeModelChooser
from lagoonwing_policy.routing.models import RouterSettings
from lagoonwing_policy.sharing.models import CapacitySpan


class FlowRouter:
    """Chooses routes; performs no I/O.

    The attempts of this host in flight are exact; load reports and cache events are hints that
    expire. The flow of a model is planned again only when the set of endpoints or the planned
    stops change.
    """

    def __init__(self, settings: RouterSettings, rng: random.Random) -> None:
        """Create an empty router.

        Args:
            settings: Policy and link latencies.
            rng: Source of all random choices.
        """
        links = LinkTable(settings)
        self._pools = PoolTable(links, settings.policy)
        self._endpoints = UsableEndpoints()
        self._quotas = QuotaTable(settings.entry_hosts)
        self._loads = LoadEstimator(self._quotas, rng)
        self._ejection = EjectionSystem(rng)
        self._rules = RoutingRules(self._loads, self._ejection)
        self._prefixes = PrefixTable()
        self._preferences = PreferenceTable()
        self._chains = ChainChooser(self._rules, links, rng)
        self._chain_policy = ChainPolicy(
            settings.policy,
            WholeModelChooser(self._rules, self._prefixes, self._preferences, rng),
            self._chains,
            RoundRobinChooser(self._rules),
        )
        self._suspects = SuspectRoutes(self._rules, self._chains)
        self._failed_domains = FailedDomainTable()
        self._now = 0.0

    def set_endpoints(self, records: Iterable[EndpointRecord], now: float) -> None:
        """Replace the endpoint table.

        Args:
            records: Endpoints that may receive new work.
            now: Time in seconds.
        """
        self._now = now
        if self._endpoints.set_endpoints(records):
            self._rebuild()

    def set_stops(self, stops: Iterable[PlannedStop]) -> None:
        """Replace the planned stops; their targets receive no new work.

        Args:
            stops: Planned stops; cancelled ones are ignored.
        """
        if self._endpoints.set_stops(stops):
            self._rebuild()

    def set_entry_hosts(self, count: int) -> None:
        """Divide every endpoint evenly until the work of other hosts is known.

        Args:
            count: Number of live entry hosts, including this one.
        """
        self._quotas.set_entry_hosts(count)

    def set_capacity_spans(
        self, span_by_pool: Mapping[str, CapacitySpan], even_span: CapacitySpan
    ) -> None:
        """Set the span of each pool's limits that this entry host may use.

        Args:
            span_by_pool: Spans of pools in which any entry host has work.
            even_span: Span of every other pool.
        """
        self._quotas.replace(self._pools.spans_by_endpoint(span_by_pool), even_span)

    def set_suspect_source(self, source: SuspectSource) -> None:
        """Set the source of suspects.

        Args:
            source: Crashes and recorded suspects.
        """
        self._suspects.set_source(source)

    def choose(
        self,
        profile: RequestProfile,
        loads_by_endpoint: LoadsByEndpoint,
        excluded: frozenset[EndpointId],
        exclusive: bool,
        now: float,
    ) -> Result[Route, RouteFailure]:
        """Return a route on which every endpoint has room.

        Args:
            profile: Profile of the request.
            loads_by_endpoint: Attempts of this host in flight; missing endpoints are idle.
            excluded: Endpoints that must not be used.
            exclusive: Whether to return the route assigned to the suspect, and only if idle.
            now: Time in seconds.

        Returns:
            The route, `NoFreeSlot`, or a refusal with `NO_ENDPOINT` or `INCOMPLETE_PIPELINE`.
        """
        self._now = now
        key = pool_key_of(profile)
        pool = self._pools.complete(key)
        if pool is None:
            return Error(self._pools.refusal(key))
        avoided = self._failed_domains.of(profile.request_id)
        context = RoutingContext(profile, loads_by_endpoint, excluded, exclusive, now, avoided)
        if exclusive:
            chain = self._suspects.idle_chain(key, pool, context)
            return _route(chain, pool, RouteReason.SUSPECT_EXCLUSIVE)
        return self._choose_by_policy(key, pool, context)

    def exclusive_route(self, profile: RequestProfile, now: float) -> Result[Route, RouteFailure]:
        """Return the route that a suspect has to run on, whether or not it is idle.

        The scheduler starts no other work on the route until it is idle.

        Args:
            profile: Profile of the request.
            now: Time in seconds.

        Returns:
            The route, `NoFreeSlot` while the suspect has to wait for the replicated state, or a
            refusal if no endpoint serves it.
        """
        key = pool_key_of(profile)
        pool = self._pools.complete(key)
        if pool is None:
            return Error(self._pools.refusal(key))
        context = RoutingContext(profile, {}, frozenset(), True, now)
        chain = self._suspects.assigned_chain(key, pool, context)
        return _route(chain, pool, RouteReason.SUSPECT_EXCLUSIVE)

    def replace_stage(
        self,
        profile: RequestProfile,
        route: Route,
        failed: RouteStage,
        loads_by_endpoint: LoadsByEndpoint,
        now: float,
    ) -> Result[RouteStage, Refusal]:
        """Return another stage that holds exactly the layers of `failed`.

        Args:
            profile: Profile of the request.
            route: Route of the running attempt.
            failed: Stage that failed.
            loads_by_endpoint: Attempts of this host in flight.
            now: Time in seconds.

        Returns:
            The new stage, or a refusal if no other endpoint with these layers has room.
        """
        self._now = now
        self._ejection.failed(failed, crashed=True, now=now)
        pool = self._pools.get(pool_key_of(profile))
        layers = self._endpoints.layers_of(failed.endpoint_id)
        if pool is None or layers is None:
            return Error(errors.no_replacement())
        used = frozenset(stage.endpoint_id for stage in route.stages)
        avoided = self._failed_domains.add(
            profile.request_id, self._endpoints.domain_of(failed.endpoint_id)
        )
        context = RoutingContext(profile, loads_by_endpoint, used, route.exclusive, now, avoided)
        for split in pool.splits:
            found = self._chains.cheapest_stage(split, *layers, context)
            if found:
                return Ok(found[0].stage)
        return Error(errors.no_replacement())

    def on_attempt_ended(
        self, profile: RequestProfile, route: Route, result: AttemptResult, now: float
    ) -> None:
        """Update endpoint health from the result of an attempt.

        Args:
            profile: Profile of the request.
            route: Route of the attempt.
            result: Result of the attempt.
            now: Time in seconds.
        """
        match result:
            case AttemptSucceeded():
                self._failed_domains.discard(profile.request_id)
                for stage in route.stages:
                    self._ejection.succeeded(stage)
            case AttemptFailed(stage=stage, endpoint_crashed=crashed, retry_after=retry_after):
                self._failed_domains.add(
                    profile.request_id, self._endpoints.domain_of(stage.endpoint_id)
                )
                # An endpoint that returns a retry-after time is busy, not faulty.
                if retry_after is None or crashed:
                    self._ejection.failed(stage, crashed, now)
            case _:
                self._failed_domains.discard(profile.request_id)

    def report_load(self, load: EndpointLoad, own_in_flight: int) -> None:
        """Record a load report.

        Args:
            load: The report; delayed, so used only as a hint.
            own_in_flight: Attempts of this host in flight on the endpoint now.
        """
        self._loads.report(load, own_in_flight)

    def report_prefix(self, endpoint_id: EndpointId, prefix_hash: str, held: bool) -> None:
        """Record a cache event.

        Args:
            endpoint_id: Endpoint that sent the event.
            prefix_hash: Digest of the prefix.
            held: Whether the prefix was added to the cache; otherwise it was evicted.
        """
        self._prefixes.report(endpoint_id, prefix_hash, held, self._now)

    def report_cache_gap(self, endpoint_id: EndpointId) -> None:
        """Discard the prefixes of an endpoint, because lost events may include evictions.

        Args:
            endpoint_id: Endpoint whose cache events were lost.
        """
        self._prefixes.discard(endpoint_id)

    def planned_tokens_per_s(self, profile_key: str) -> float:
        """Return the planned throughput of a model's stages, in tokens per second.

        Args:
            profile_key: Key of the pool, `model/` and the model's id.
        """
        return self._pools.planned_tokens_per_s(profile_key)

    def _choose_by_policy(
        self, key: str, pool: RoutePool, context: RoutingContext
    ) -> Result[Route, RouteFailure]:
        """Return the route of the policy; ejections are ignored if too few endpoints are left."""
        reserved = self._suspects.reserved(key, pool, context)
        context = replace(context, excluded=context.excluded | reserved)
        reason = RouteReason.POLICY
        chain = self._chain_policy.choose(key, pool, context)
        if not chain and self._rules.has_too_few_healthy(
            list(pool.candidate_by_id.values()), context
        ):
            reason = RouteReason.ONLY_EJECTED_LEFT
            chain = self._chain_policy.choose(key, pool, replace(context, ignore_ejections=True))
        return _route(chain, pool, reason)

    def _rebuild(self) -> None:
        """Rebuild the pools and drop the data of endpoints that are gone or have restarted."""
        for endpoint_id in self._pools.rebuild(self._endpoints.usable()):
            # A restart empties the cache.
            self._prefixes.discard(endpoint_id)
        candidate_by_id = self._pools.candidate_by_id
        endpoint_ids = set(candidate_by_id)
        self._preferences.clear()
        self._prefixes.keep_only(endpoint_ids)
        self._loads.keep_only(endpoint_ids)
        self._ejection.keep_only(item.stage for item in candidate_by_id.values())


def _route(
    chain: tuple[Candidate, ...], pool: RoutePool, reason: RouteReason
) -> Result[Route, RouteFailure]:
    """Return the route over a chain of endpoints, or `NoFreeSlot` if the chain is empty."""
    if not chain:
        return Error(NoFreeSlot())
    return Ok(
        Route(
            tuple(candidate.stage for candidate in chain),
            exclusive=reason is RouteReason.SUSPECT_EXCLUSIVE,
            candidates=len(pool.candidate_by_id),
            reason=reason,
        )
    )
