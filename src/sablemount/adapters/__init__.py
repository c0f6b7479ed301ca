"""Adapters to the platform of the stand-ins: log service, VM list and workers over HTTP."""
