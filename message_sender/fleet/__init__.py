"""The link between senders: sealed datagrams, membership, announcements, queries and leases.

It knows nothing of the content of announcements, queries and leases.
"""
