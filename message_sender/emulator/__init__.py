"""Runs the production engine in simulated time, with models of its environment, and searches for violations.

The engine is unchanged: it waits only on the event loop, and reads only the clock that it is given.
"""
