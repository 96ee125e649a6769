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

# Number of the last accepted change of the durable state; never goes back.
Revision = NewType("Revision", int)
# Election term of the replicated log.
Term = NewType("Term", int)
# Position in the replicated log, from 1.
LogIndex = NewType("LogIndex", int)
# Start count of a process or endpoint; a higher one replaces a lower one.
Incarnation = NewType("Incarnation", int)
# Number of an attempt within one request, from 1; a higher one fences a lower one.
Attempt = NewType("Attempt", int)
# Number that rises with each new holder of the right to give orders.
FencingNumber = NewType("FencingNumber", int)
# Digest of the normalised body of a request.
Fingerprint = NewType("Fingerprint", str)
# Number that operators give a configuration document; the highest is in force.
DocumentVersion = NewType("DocumentVersion", int)
