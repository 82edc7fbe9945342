"""Assembly, start and shutdown of a sender process."""
