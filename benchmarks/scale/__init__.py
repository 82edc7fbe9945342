"""Scale tests: how each cost of the sender grows with one dimension of the deployment.

Each dimension (see registry.py) measures a cost at several sizes, fits a line to the points and evaluates the
line at the size that the operators plan for. The results are written as JSON to docs/capacity/; the tables of
docs/CAPACITY.md are generated from these files.
"""
