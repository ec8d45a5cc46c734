"""Simulations of overloaded model engines on a simulated clock."""
