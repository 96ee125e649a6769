"""gRPC schema of the operator API and its generated code."""

from __future__ import annotations
