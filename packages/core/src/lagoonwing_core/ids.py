"""Identifier types used by every package."""

from __future__ import annotations

from typing import NewType

HostId = NewType("HostId", str)
FailureDomainId = NewType("FailureDomainId", str)
MemberId = NewType("MemberId", str)
AgreementId = NewType("AgreementId", str)
EndpointId = NewType("EndpointId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
AcceleratorKind = NewType("AcceleratorKind", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ChangeId = NewType("ChangeId", str)
StopId = NewType("StopId", str)
OrderId = NewType("OrderId", str)
ReplicaId = NewType("ReplicaId", str)
RouteId = NewType("RouteId", str)
AttemptId = NewType("AttemptId", str)

# Sequence number of the last accepted change to the replicated state; monotonic.
Revision = NewType("Revision", int)
# Election term of the replicated log.
Term = NewType("Term", int)
# Index in the replicated log, starting at 1.
LogIndex = NewType("LogIndex", int)
# Identifies one run of a process or endpoint; a higher value supersedes a lower one.
Incarnation = NewType("Incarnation", int)
# Attempt number within a request, starting at 1; a higher attempt fences off lower ones.
Attempt = NewType("Attempt", int)
# Fencing token; increases whenever the right to issue orders changes hands.
FencingNumber = NewType("FencingNumber", int)
# Digest of the normalised request body.
Fingerprint = NewType("Fingerprint", str)
# Identifies the crash of one incarnation of an endpoint.
CrashId = NewType("CrashId", str)
# Operator-assigned version of a configuration document; the highest one is active.
DocumentVersion = NewType("DocumentVersion", int)
