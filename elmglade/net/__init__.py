"""The real sender: the decision module on sockets."""
