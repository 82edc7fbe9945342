"""The real engine in simulated time: its loop, the world round it, and a search for lives that break a rule.

The engine does not know it. What waits, waits on the loop; what reads a clock reads the one it was given.
"""
