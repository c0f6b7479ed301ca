"""Benchmarks, the fault matrix, the soak and the demo."""
