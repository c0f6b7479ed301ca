"""Local times, in monotonic seconds."""

__all__ = ["NEVER"]

NEVER = -1e9
"""Time of what has not happened: earlier than all others."""
