"""The edges: what lives as long as a connection, and the threads that do I/O."""
