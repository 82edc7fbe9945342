"""Stand-in endpoints, clusters on loopback and the history checker.

Used by tests, benchmarks and `message-sender demo`.
"""
