"""What the sender has taken on, in files that outlast its process."""
