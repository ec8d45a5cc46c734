"""
A randomized fault soak of real processes.

Routers and backend servers run as processes on one machine. Faults come from
outside: signals, a loopback proxy on each connection but those between
routers, and a store that misbehaves. What callers and backend servers saw is
held against the promises of the routers.
"""
