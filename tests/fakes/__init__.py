"""Small stand-ins for the platform, shared by tests, demo and benchmarks."""
