"""Stand-ins of clients, servers, the operator and the platform, with the standard library only."""
