"""Cluster scheduler for organisations that pay by priority and share one cell."""

__all__ = ["__version__"]

__version__ = "0.1.0"
