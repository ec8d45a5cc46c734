"""
Messages between routers, by topic.

Each is a ``NamedTuple`` that msgpack carries as an array inside an
``Envelope``. ``kinds`` numbers them.
"""

from __future__ import annotations
