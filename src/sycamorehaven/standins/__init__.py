"""
Small stand-ins for the platform and the backend servers of a fleet.

The demo and the tests run them in their own process. The platform, the model
engine and the booking service can also run as separate processes.
"""

from __future__ import annotations
