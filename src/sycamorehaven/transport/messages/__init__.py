"""
The messages that routers send each other, one module per topic.

Each message is a ``NamedTuple``, which msgpack encodes as an array inside an
``Envelope``. The module ``kinds`` lists and numbers all messages.
"""

from __future__ import annotations
