"""Demo, soak and measurement commands."""
