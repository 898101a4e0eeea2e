"""Generates the reference tables of the documentation from the code."""
