"""HTTP/1.1: the server for clients, the transport to receivers, and the client of the discovery service."""
