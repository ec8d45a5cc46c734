"""Load patterns replayed against model engines on a given clock."""
