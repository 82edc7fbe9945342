"""Configuration of senders, by a TOML file or by the platform: tables, validation and defaults."""
