"""The operators' management API: its listener, its calls and the text format of its metrics."""
