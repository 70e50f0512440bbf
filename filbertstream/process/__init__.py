"""State that lives as long as the process: membership, targets, limits, metrics, the host."""
