"""Small stand-ins for external systems, used by tests, the demo and the benchmarks."""
