"""Assembly of a sender process: its parts, configuration, start and end."""
