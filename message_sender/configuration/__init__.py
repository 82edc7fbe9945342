"""General and deploy settings: their tables, validation and defaults."""
