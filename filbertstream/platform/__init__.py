"""Adapter for the users' platform: translates its names, formats and calls to internal types.

This package makes no decisions, and no other package uses the platform's names.
"""
