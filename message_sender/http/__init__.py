"""HTTP/1.1: the server for clients, the transport to receivers, discovery with its notices."""
