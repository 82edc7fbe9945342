"""Control plane: a versioned configuration log, replicated on a few control nodes and watched by senders.

It is off unless a configuration enables it, and the platform's daemon imports none of it. The protocol and
its design reasons are in docs/design/control.md.
"""
