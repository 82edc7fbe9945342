"""The operators' calls: their listener and the figures' lines. It asks the core and decides nothing."""
