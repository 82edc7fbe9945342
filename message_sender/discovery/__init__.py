"""Endpoint lists: static ones, files, and what operators change of them for a while."""
