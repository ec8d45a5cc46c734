"""
The shared state of one router, divided into typed sections.

The package follows the blackboard pattern: controllers share no other state.
Each section is written by one or a few controllers, which the docstring of its
module names; all others only read it.

An edge is a router in its role of receiving calls. A scheduler is a router in
its role of granting edges permits to run calls on backend servers.
"""

from __future__ import annotations
