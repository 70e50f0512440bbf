"""Measurements, and the virtual-time driver that tests and measurements share (``bench.world``)."""
