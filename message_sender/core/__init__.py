"""The engine round the decision module: one turn, one table of messages, the journal before any byte.

It knows ports and no protocol; see docs/design/core.md.
"""
