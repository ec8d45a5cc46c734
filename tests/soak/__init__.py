"""
A randomized soak test that injects faults into a fleet of real processes.

Routers and backend servers run as processes on one machine. Faults are
injected from outside: by signals, by a loopback proxy on every connection
except those between routers, and by a store that fails. The observations of
callers and backend servers are checked against the routers' guarantees.
"""
