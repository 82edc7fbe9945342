"""What many senders spend from one whole."""
