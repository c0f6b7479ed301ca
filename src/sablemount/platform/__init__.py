"""Ports to the platform and their HTTP adapters."""
