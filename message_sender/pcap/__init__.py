"""Packet captures that others took: read as HTTP/1.1 traffic, compared, replayed; and written."""
