"""The link between senders: sealed datagrams, membership, announcements, queries and leases.

The contents of announcements, queries and leases are opaque to it.
"""
