"""Components shared by the request handlers."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import FailureDomainId
from lagoonwing_gateway._admission_queue import AdmissionQueue
from lagoonwing_gateway._crash_tracker import CrashTracker
from lagoonwing_gateway._directory import EndpointDirectory
from lagoonwing_gateway._endpoint_client import EndpointClient
from lagoonwing_gateway._endpoint_limiter import EndpointLimiter
from lagoonwing_gateway._endpoint_notices import EndpointNotices
from lagoonwing_gateway._follower import CatalogFollower
from lagoonwing_gateway._handover import Handover
from lagoonwing_gateway._handover_relay import HandoverRelay
from lagoonwing_gateway._load_tracker import LoadTracker
from lagoonwing_gateway._pace_tracker import PaceTracker
from lagoonwing_gateway._retry_budget import RetryBudget
from lagoonwing_gateway._slowdown import SlowdownTracker
from lagoonwing_gateway._suspicions import SuspicionTracker
from lagoonwing_gateway._unreported_work import UnreportedWork
from lagoonwing_gateway._watchdog import Watchdog
from lagoonwing_gateway.diagnostics import GatewayMetrics
from lagoonwing_gateway.ports import Dialect
from lagoonwing_http import ResponseBudget


@dataclass(frozen=True, slots=True)
class GatewayComponents:
    """Components of one gateway."""

    failure_domain: FailureDomainId
    follower: CatalogFollower
    directory: EndpointDirectory
    suspicions: SuspicionTracker
    watchdog: Watchdog
    slowdown: SlowdownTracker
    pace_tracker: PaceTracker
    load_tracker: LoadTracker
    unreported_work: UnreportedWork
    budget: RetryBudget
    crash_tracker: CrashTracker
    notices: EndpointNotices
    limiter: EndpointLimiter
    admission_queue: AdmissionQueue
    endpoint_client: EndpointClient
    dialect: Dialect
    response_budget: ResponseBudget
    handover: Handover
    handover_relay: HandoverRelay
    metrics: GatewayMetrics
    clock: Clock
    rng: random.Random
