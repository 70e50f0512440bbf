"""What the entries of a fleet learn alone and have to act on together."""
