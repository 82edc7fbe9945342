"""HTTP/1.1: the door for clients, the transport to receivers, and the platform's watch and notices."""
