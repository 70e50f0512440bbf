"""The state with the lifetime of a request, and the decisions on a request."""
