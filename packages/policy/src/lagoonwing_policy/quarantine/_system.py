"""Tracks requests that were running on endpoints when these crashed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonwing_core.ids import EndpointId, FailureDomainId, Fingerprint
from lagoonwing_core.models import EndpointRecord, Quarantine, QuarantineState
from lagoonwing_policy._protocols import QuarantineVerdict
from lagoonwing_policy.models import ClearSuspect, ReportSuspects, RouteStage
from lagoonwing_policy.quarantine import const
from lagoonwing_policy.quarantine._correlation import CrashCorrelator


@dataclass(slots=True)
class _LocalCrashes:
    """Crashes observed by this host while one request was running.

    Attributes:
        stages: Endpoints that crashed.
        reported_stages: Crashes that have been reported.
        is_suspect: Whether any of the crashes is attributed to the request.
        last_crash: Time of the last crash.
    """

    stages: set[RouteStage] = field(default_factory=set)
    reported_stages: set[RouteStage] = field(default_factory=set)
    is_suspect: bool = False
    last_crash: float = 0.0


class QuarantineSystem:
    """Restricts requests by the crashes in the replicated state and those observed locally.

    Local observations take effect immediately, those of other hosts as soon as they are in the
    replicated state. A crash is reported before any request that was running is retried.
    """

    def __init__(self) -> None:
        self._quarantine_by_fingerprint: dict[Fingerprint, Quarantine] = {}
        self._local_by_fingerprint: OrderedDict[Fingerprint, _LocalCrashes] = OrderedDict()
        self._domain_by_endpoint: dict[EndpointId, FailureDomainId] = {}
        self._correlator = CrashCorrelator()
        self._recorded_suspects: tuple[Fingerprint, ...] = ()

    def set_endpoints(self, records: Iterable[EndpointRecord]) -> None:
        """Replace the failure domains of the endpoints.

        Args:
            records: Endpoints that may receive new work.
        """
        known = {record.endpoint_id: record.failure_domain for record in records}
        # Crashes may be reported after the endpoint's record was removed, so domains of removed
        # endpoints are kept.
        self._domain_by_endpoint = {**self._retained_domains(known), **known}

    def _retained_domains(
        self, known: dict[EndpointId, FailureDomainId]
    ) -> dict[EndpointId, FailureDomainId]:
        """Return the previous domains, or none if there are too many of them."""
        if len(self._domain_by_endpoint) > 4 * len(known) + const.MAX_LOCAL_CRASHES:
            return {}
        return self._domain_by_endpoint

    def set_quarantines(self, quarantines: Iterable[Quarantine]) -> None:
        """Replace the quarantines of the replicated state.

        Args:
            quarantines: Quarantines; a newly cleared one also discards the crashes observed
                locally.
        """
        current = {quarantine.fingerprint: quarantine for quarantine in quarantines}
        for quarantine in current.values():
            known = self._quarantine_by_fingerprint.get(quarantine.fingerprint)
            is_new = known is None or quarantine.revision > known.revision
            if quarantine.state is QuarantineState.CLEARED and is_new:
                self._local_by_fingerprint.pop(quarantine.fingerprint, None)
        self._quarantine_by_fingerprint = current
        suspects = [item for item in current.values() if item.state is QuarantineState.SUSPECT]
        suspects.sort(key=lambda item: (item.revision, item.fingerprint))
        self._recorded_suspects = tuple(item.fingerprint for item in suspects)

    def verdict(self, fingerprint: Fingerprint) -> QuarantineVerdict:
        """Return whether and how a request may run.

        Args:
            fingerprint: Digest of the normalised request body.
        """
        replicated = self._quarantine_by_fingerprint.get(fingerprint)
        local = self._local_by_fingerprint.get(fingerprint)
        if replicated is not None and replicated.state is QuarantineState.QUARANTINED:
            return QuarantineVerdict.REFUSED
        if len(self._known_crashes(fingerprint)) >= const.MAX_CRASHES:
            return QuarantineVerdict.REFUSED
        if replicated is not None and replicated.state is QuarantineState.SUSPECT:
            return QuarantineVerdict.EXCLUSIVE
        if local is not None and local.is_suspect:
            return QuarantineVerdict.EXCLUSIVE
        return QuarantineVerdict.ALLOWED

    def on_endpoint_crashed(
        self, stage: RouteStage, running: tuple[Fingerprint, ...], now: float
    ) -> tuple[ReportSuspects, ...]:
        """Record a crash.

        Args:
            stage: Endpoint that crashed.
            running: Fingerprints of the requests that were running there.
            now: Time in seconds.

        Returns:
            Reports to store before any of `running` is retried; none if a failure of the whole
            failure domain is the likely cause.
        """
        distinct = frozenset(running)
        domain = self._domain_by_endpoint.get(stage.endpoint_id)
        is_domain_wide = domain is not None and self._correlator.is_domain_wide(
            domain, stage, distinct, now
        )
        self._expire(now)
        for fingerprint in sorted(distinct):
            self._record_crash(fingerprint, stage, is_domain_wide, now)
        return self._pending_reports(sorted(distinct))

    def on_succeeded(self, fingerprint: Fingerprint, exclusive: bool) -> ClearSuspect | None:
        """Record that a request completed.

        Args:
            fingerprint: Digest of the normalised request body.
            exclusive: Whether it ran alone.

        Returns:
            The command that clears it, if it was a suspect and ran alone.
        """
        was_suspect = self.verdict(fingerprint) is QuarantineVerdict.EXCLUSIVE
        if was_suspect and not exclusive:
            # The attempt started before the request became a suspect and shared its endpoints,
            # so its success proves nothing.
            return None
        self._local_by_fingerprint.pop(fingerprint, None)
        return ClearSuspect(fingerprint) if was_suspect else None

    def crashed_on(self, fingerprint: Fingerprint) -> frozenset[EndpointId]:
        """Return the endpoints that crashed while a request was running on them.

        Args:
            fingerprint: Digest of the normalised request body.
        """
        return frozenset(stage.endpoint_id for stage in self._known_crashes(fingerprint))

    def recorded_suspects(self) -> tuple[Fingerprint, ...]:
        """Return the suspects of the replicated state, oldest first."""
        return self._recorded_suspects

    def _known_crashes(self, fingerprint: Fingerprint) -> set[RouteStage]:
        """Return the known crashes that happened while a request was running."""
        local = self._local_by_fingerprint.get(fingerprint)
        crashes = set(local.stages) if local is not None else set()
        replicated = self._quarantine_by_fingerprint.get(fingerprint)
        if replicated is not None and replicated.state is not QuarantineState.CLEARED:
            crashes.update(RouteStage(*crash) for crash in replicated.deaths)
        return crashes

    def _record_crash(
        self, fingerprint: Fingerprint, stage: RouteStage, is_domain_wide: bool, now: float
    ) -> None:
        """Store a crash for a request; a second crash always makes it a suspect."""
        local = self._local_by_fingerprint.setdefault(fingerprint, _LocalCrashes())
        self._local_by_fingerprint.move_to_end(fingerprint)
        local.stages.add(stage)
        local.last_crash = now
        if not is_domain_wide or len(local.stages) >= const.MAX_CRASHES:
            local.is_suspect = True
        if len(self._local_by_fingerprint) > const.MAX_LOCAL_CRASHES:
            self._local_by_fingerprint.popitem(last=False)

    def _pending_reports(self, fingerprints: Iterable[Fingerprint]) -> tuple[ReportSuspects, ...]:
        """Return the unreported crashes of suspects, one report per crash."""
        suspects_by_stage: dict[RouteStage, list[Fingerprint]] = {}
        for fingerprint in fingerprints:
            local = self._local_by_fingerprint[fingerprint]
            if not local.is_suspect:
                continue
            for stage in sorted(
                local.stages - local.reported_stages, key=lambda item: item.endpoint_id
            ):
                suspects_by_stage.setdefault(stage, []).append(fingerprint)
            local.reported_stages |= local.stages
        return tuple(
            ReportSuspects(tuple(suspects), stage.endpoint_id, stage.incarnation)
            for stage, suspects in suspects_by_stage.items()
        )

    def _expire(self, now: float) -> None:
        """Discard old crashes; reported ones are in the replicated state."""
        while self._local_by_fingerprint:
            fingerprint, oldest = next(iter(self._local_by_fingerprint.items()))
            if now - oldest.last_crash < const.LOCAL_CRASH_TTL_S:
                return
            del self._local_by_fingerprint[fingerprint]
