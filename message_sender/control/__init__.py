"""Control plane: a versioned configuration log, replicated on a few control nodes and watched by senders.

Off unless a configuration names it; nothing of it is imported by the platform's daemon. The protocol and the
reasons are in docs/design/control.md.
"""
