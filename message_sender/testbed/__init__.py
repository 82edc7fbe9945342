"""Stand-ins on loopback and the referee, for tests, benchmarks and `message-sender demo`."""
