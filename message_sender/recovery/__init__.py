"""Recovery after a restart: what is trusted, in which stages service returns, and the snapshot."""
