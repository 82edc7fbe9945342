"""From one process to the next, and out of service: who owns, what is told, how clients are sent away."""
