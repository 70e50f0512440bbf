"""The I/O layer: connections, their protocols, and the threads that do blocking I/O."""
