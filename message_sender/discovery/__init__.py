"""Who is there: directories that need no platform."""
