"""State that lives as long as a request, and the decisions taken for it."""
