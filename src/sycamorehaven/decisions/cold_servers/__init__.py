"""Pacing of requests to servers that have just started."""
