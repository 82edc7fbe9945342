"""Scale tests: how each cost of the sender grows with one dimension of the deployment.

Each dimension (members, destinations, held, messages, restarts) measures a cost at several sizes, fits a line
to the points and evaluates it at the size that the operators plan for. The results are written as JSON to
docs/capacity/, from which the tables of docs/CAPACITY.md are generated.
"""
