"""Stand-ins on loopback and the referee, for tests, benchmarks and `elmglade demo`."""
