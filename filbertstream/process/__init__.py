"""State with the lifetime of the process: members, targets, limits, metrics, queries."""
