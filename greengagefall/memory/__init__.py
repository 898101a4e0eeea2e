"""Decides how much memory and how many descriptors clients may hold; without input or output."""
