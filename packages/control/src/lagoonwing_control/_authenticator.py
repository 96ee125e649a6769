"""Authentication of operators by bearer token."""

from __future__ import annotations

import hashlib
import hmac

from lagoonwing_control.settings import OperatorToken

_BEARER = "Bearer "


class Authenticator:
    """Maps bearer tokens to operators."""

    def __init__(self, operators: tuple[OperatorToken, ...]) -> None:
        self._operators = operators

    def authenticate(self, metadata: tuple[tuple[str, str | bytes], ...]) -> str | None:
        """Return the operator's name, or `None` if the token is missing or invalid."""
        for key, value in metadata:
            if key == "authorization" and isinstance(value, str) and value.startswith(_BEARER):
                return self._find_operator(value.removeprefix(_BEARER))
        return None

    def _find_operator(self, token: str) -> str | None:
        """Return the name of the operator that owns a token."""
        token_hash = hashlib.sha256(token.encode()).hexdigest()
        name: str | None = None
        for operator in self._operators:
            if hmac.compare_digest(token_hash, operator.token_hash):
                name = operator.name
        return name
