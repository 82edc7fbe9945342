"""The link between senders: sealed datagrams, membership (pure), what each says of itself, who is asked
what."""
