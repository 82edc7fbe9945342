"""The engine that runs the delivery policy: the loop iteration, the message table and the attempts.

An attempt is in the journal before its first byte is sent. The package depends on ports, not on a
protocol; see docs/design/core.md.
"""
