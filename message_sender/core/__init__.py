"""The engine round the delivery policy: one loop iteration, one message table, the journal before any byte.

It knows ports and no protocol; see docs/design/core.md.
"""
